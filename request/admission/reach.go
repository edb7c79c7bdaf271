package admission

// Reach describes which of a service's backend servers a request may use. The zero value means
// all of them.
type Reach struct {
	// Set names the servers; empty means all. Requests that wait for servers of a set hold up
	// no requests of another set.
	Set string
	// Fraction is the fraction of the servers that are in the set.
	Fraction float64
	// Check returns a refusal while no server of the set accepts requests. It is called under
	// the controller's lock.
	Check func() error
}

// competes reports whether requests with reach r wait for the same servers as those with o.
func (r *Reach) competes(o *Reach) bool { return r.Set == o.Set || r.Set != "" && o.Set == "" }

// fraction returns the fraction of the servers that the request may use.
func (r *Reach) fraction() float64 {
	if r.Set == "" {
		return 1
	}
	return max(r.Fraction, minFraction)
}

// minFraction bounds the expected wait for servers of a set that has hardly any.
const minFraction = 0.01

// mayOvertake reports whether a new request of an account competes with no waiting one.
func (c *Controller) mayOvertake(a *account) bool {
	for _, other := range c.active {
		if a.reach.competes(&other.reach) {
			return false
		}
	}
	return true
}

// competition returns the number of waiting requests and the total weight of the accounts that
// compete with an account, without its own weight.
func (c *Controller) competition(a *account) (waiting int, weight float64) {
	for _, other := range c.active {
		if !a.reach.competes(&other.reach) {
			continue
		}
		waiting += other.waiting
		if other != a {
			weight += other.weight
		}
	}
	return waiting, weight
}

// refuseUnreachable refuses the waiting requests of an account while no server that it may use
// accepts requests.
func (c *Controller) refuseUnreachable(a *account) {
	if a.reach.Check == nil {
		return
	}
	err := a.reach.Check()
	for err != nil && a.waiting > 0 {
		q := &a.queues[0]
		w := q.waiters[0]
		c.dequeue(a, func() { a.pop(q) })
		c.dropped.Inc(1)
		c.resolve(w, err)
	}
}
