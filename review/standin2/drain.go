package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The deployment of the case: the figures of kiszallitas and of courier-bill on the pages of
// elezo-kapu, with the route's time-out raised to the clients' deadline.
const (
	drainVMs      = 14
	drainWorkers  = 8
	drainSlots    = 2
	drainWork     = 150 * time.Millisecond
	drainDeadline = 3 * time.Second
	// drainBound is DrainS.
	drainBound = 2 * time.Second
	// drainLoad is the share of the workers' capacity that the clients use.
	drainLoad = 0.7
	// An episode: some workers turn slow (srv_slow), and a little later two of these drain and leave
	// (scale_in). Two new ones start before the next episode (scale_out).
	episodes      = 3
	episodeEvery  = 13 * time.Second
	slowFor       = 9 * time.Second
	slowFactor    = 12
	slowCount     = 3 // 0.4 of the workers
	replaceCount  = 2 // 0.25 of the workers
	startBefore   = 4 * time.Second
	drainAfter    = 900 * time.Millisecond
	servesAfter   = 5 * time.Second // a draining worker serves for DrainS and longer
	coldTime      = 3 * time.Second // ColdStartS
	firstEpisode  = 6 * time.Second
	drainPlayTime = firstEpisode + episodes*episodeEvery
)

func playDrain(c *caseRun) (broken bool, err error) {
	zones := []string{"a", "b", "c", "d"}
	s, err := newSystem(c.dir, c.gateway, c.rec, drainVMs, zones, fmt.Sprintf(`{"Version":"r3","Routes":{
		"r-1":{"Host":%q,"Prefix":%q,"RouteType":"non_idempotent","TimeoutS":%g,"TargetLatencyS":0.5,"Priority":0,"Service":"plain","MaxAttempts":2}},
		"Services":{"plain":{"HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":3.1}},
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`, host, route, drainDeadline.Seconds()))
	if err != nil {
		return false, err
	}
	defer s.stop()
	for range drainVMs {
		if err := s.startVM(s.storeAddress); err != nil {
			return false, err
		}
	}
	started := 0
	start := func(cold time.Duration) (*worker, error) {
		started++
		return startWorker(s.store, c.rec, fmt.Sprintf("i-%d", started), "plain", zones[started%len(zones)], drainSlots, drainWork, cold)
	}
	var workers []*worker // in use, the oldest first
	for range drainWorkers {
		w, err := start(0)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	c.rec.logf("%d VMs are ready, %d workers are registered", len(s.vms), len(workers))
	time.Sleep(3 * time.Second)
	begin := time.Now()
	drained := make(map[string]time.Time)
	var failed error
	planEnded := make(chan struct{})
	go func() {
		defer close(planEnded)
		for n := range episodes {
			at := begin.Add(firstEpisode + time.Duration(n)*episodeEvery)
			time.Sleep(time.Until(at.Add(-startBefore)))
			for n > 0 && len(workers) < drainWorkers {
				w, err := start(coldTime)
				if err != nil {
					failed = err
					return
				}
				workers = append(workers, w)
				c.rec.logf("%s starts", w.id)
			}
			time.Sleep(time.Until(at))
			slow := workers[:slowCount]
			if c.trouble {
				for _, w := range slow {
					w.setSlowdown(slowFactor)
				}
				c.rec.logf("%s, %s and %s take %d times as long", slow[0].id, slow[1].id, slow[2].id, slowFactor)
				time.AfterFunc(slowFor, func() {
					for _, w := range slow {
						w.setSlowdown(1)
					}
				})
			}
			time.Sleep(time.Until(at.Add(drainAfter)))
			for _, w := range workers[:replaceCount] {
				drained[w.id] = w.drain()
				c.rec.logf("the store has accepted that %s drains", w.id)
				time.AfterFunc(servesAfter, w.end)
			}
			workers = workers[replaceCount:]
		}
	}()
	rate := drainLoad * drainWorkers * drainSlots / drainWork.Seconds()
	var requests sync.WaitGroup
	for n := 0; time.Since(begin) < drainPlayTime; n++ {
		v := s.vms[rand.IntN(len(s.vms))]
		requests.Go(func() { s.post(v, fmt.Sprintf("q%06d", n), drainDeadline) })
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n+1) / rate * float64(time.Second)))))
	}
	requests.Wait()
	<-planEnded
	for _, w := range workers {
		w.end()
	}
	if failed != nil {
		return false, failed
	}
	c.rec.mu.Lock()
	arrivals, answers := c.rec.arrivals, c.rec.answers
	c.rec.mu.Unlock()
	statuses := make(map[int]int)
	for _, a := range answers {
		statuses[a.Status]++
	}
	c.rec.logf("answers by status: %v", statuses)
	late := 0
	for _, a := range arrivals {
		acked, ok := drained[a.Worker]
		if !ok || a.Result == "misdirected" || a.At.Sub(acked) <= drainBound {
			continue
		}
		late++
		c.rec.logf("DRAIN broken: request %s reached %s %.3f s after the store had accepted that it drains (%s)", a.Request, a.Worker, a.At.Sub(acked).Seconds(), a.Result)
	}
	c.rec.logf("%d requests reached a draining worker later than DrainS", late)
	return late > 0, nil
}
