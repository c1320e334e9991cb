package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"dandelionhill.dev/platform/fleet"
)

// The deployment and the disruption of the case.
const (
	regressVMs = 4
	// The store turns the last VM away for storeAwayFor; for cutFor from the same moment, it is cut
	// off from the workers.
	storeAwayFor = 5500 * time.Millisecond
	cutFor       = 5 * time.Second
	changeAfter  = 1500 * time.Millisecond
	// rollbackSlack is RollbackSlackS.
	rollbackSlack = 250 * time.Millisecond
	regressEvery  = 50 * time.Millisecond
)

func regressConfiguration(version int, service string) string {
	return fmt.Sprintf(`{"Version":"r%d","Routes":{
		"r-1":{"Host":%q,"Prefix":%q,"RouteType":"non_idempotent","TimeoutS":1.5,"TargetLatencyS":0.5,"Priority":0,"Service":%q,"MaxAttempts":2}},
		"Services":{"first":{"HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":3.1},
		"second":{"HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":3.1}},
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`, version, host, route, service)
}

func playRegress(c *caseRun) (broken bool, err error) {
	zones := []string{"a", "b", "c", "d"}
	s, err := newSystem(c.dir, c.gateway, c.rec, regressVMs, zones, regressConfiguration(3, "first"))
	if err != nil {
		return false, err
	}
	defer s.stop()
	front := &storeFront{store: s.store, links: make(map[string]*link)}
	serviceOf := make(map[string]string) // by worker
	for i := range 8 {
		service := []string{"first", "second"}[i/4]
		w, err := startWorker(s.store, c.rec, fmt.Sprintf("%s-%d", service, i%4+1), service, zones[i%len(zones)], 2, 20*time.Millisecond, 0)
		if err != nil {
			return false, err
		}
		defer w.end()
		serviceOf[w.id] = service
		if front.links[w.address], err = newLink(w.address); err != nil {
			return false, err
		}
	}
	frontListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	frontServer := &http.Server{Handler: front}
	s.http = append(s.http, frontServer)
	go frontServer.Serve(frontListener)
	storeLink, err := newLink(frontListener.Addr().String())
	if err != nil {
		return false, err
	}
	for i := range regressVMs {
		store := s.storeAddress
		if i == regressVMs-1 {
			// The last VM does not become the granter.
			if err := s.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
			time.Sleep(time.Second)
			store = storeLink.address
		}
		if err := s.startVM(store); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	observed := s.vms[regressVMs-1]
	c.rec.logf("%d VMs are ready; %s is the one that is observed", len(s.vms), observed.name)
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(regressEvery):
				go s.post(observed, fmt.Sprintf("q%06d", n), 3*time.Second)
			}
		}
	}()
	time.Sleep(2 * time.Second)
	if c.trouble {
		storeLink.cut()
		for _, l := range front.links {
			l.cut()
		}
		c.rec.logf("the store turns %s away, and it is cut off from the workers", observed.name)
	}
	time.Sleep(changeAfter)
	s.store.Put(fleet.TableOperator, fleet.KeyConfiguration, []byte(regressConfiguration(5, "second")))
	c.rec.logf("the store has accepted r5: the route goes to the service \"second\"")
	time.Sleep(cutFor - changeAfter)
	if c.trouble {
		for _, l := range front.links {
			if err := l.heal(); err != nil {
				return false, err
			}
		}
		c.rec.logf("%s reaches the workers again", observed.name)
	}
	time.Sleep(storeAwayFor - cutFor)
	if c.trouble {
		if err := storeLink.heal(); err != nil {
			return false, err
		}
		c.rec.logf("the store serves %s again", observed.name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	<-sent
	time.Sleep(4 * time.Second)
	select {
	case <-observed.ended:
		return false, fmt.Errorf("%s has ended", observed.name)
	default:
	}
	c.rec.mu.Lock()
	arrivals, answers := c.rec.arrivals, c.rec.answers
	c.rec.mu.Unlock()
	sentAt := make(map[string]time.Time)
	statuses := make(map[int]int)
	for _, a := range answers {
		sentAt[a.Request] = a.SentAt
		statuses[a.Status]++
	}
	c.rec.logf("answers by status: %v", statuses)
	var effect time.Time // when a worker first saw the effect of r5 through the observed VM
	for _, a := range arrivals {
		if a.Result == "ran" && serviceOf[a.Worker] == "second" && (effect.IsZero() || a.At.Before(effect)) {
			effect = a.At
		}
	}
	if effect.IsZero() {
		return false, fmt.Errorf("no request was run as r5 says")
	}
	c.rec.logf("a worker saw the effect of r5 at %.3f s, in a request that %s had taken", effect.Sub(c.rec.start).Seconds(), observed.name)
	old := 0
	for _, a := range arrivals {
		if a.Result != "ran" || serviceOf[a.Worker] != "first" || sentAt[a.Request].Sub(effect) <= rollbackSlack {
			continue
		}
		if old++; old <= 5 {
			c.rec.logf("CONFIG broken: request %s, sent %.3f s after that, was run by %s, as only r3 says", a.Request, sentAt[a.Request].Sub(effect).Seconds(), a.Worker)
		}
	}
	c.rec.logf("%d requests were handled as only the older version says", old)
	return old > 0, nil
}
