package impure

import (
	"math/rand/v2"
	"net" // want `import of net in a decision library`
	"time"
)

var _ net.Addr

func decide() {
	_ = time.Now()    // want `use of time.Now in a decision library`
	_ = rand.IntN(3)  // want `use of math/rand/v2.IntN in a decision library`
	go func() {}()    // want `goroutine in a decision library`
	var _ chan string // want `channel in a decision library`
}
