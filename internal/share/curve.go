package share

import (
	"cmp"
	"slices"
)

// member is one workspace, or several alike, that competes at a level.
type member struct {
	// demand, least and most are in requests per second.
	demand, least, most float64
	weight              float64
}

func newMember(demand float64, t Terms) member {
	return member{demand: demand, least: min(t.Least, demand), most: min(max(t.Most, t.Least), demand), weight: t.Weight}
}

// served returns how much of the demand the number x admits: all below the least rate, x times the
// weight between that and the most rate.
func (m *member) served(x float64) float64 { return max(m.least, min(m.most, x*m.weight)) }

// curve is the distribution of the numbers of all requests of a level. Between two numbers of xs it is
// linear.
type curve struct {
	total float64
	// floor is the part of the requests within the least rates, and ceiling the part that is not beyond
	// the most rates.
	floor, ceiling float64
	xs             []float64
	// parts are the parts of the requests below each number, and slopes their rise from there on.
	parts, slopes []float64
}

// bend is a number at which the slope of a curve changes.
type bend struct{ x, change float64 }

func newCurve(members []member) *curve {
	c := &curve{}
	least, most := 0.0, 0.0
	bends := make([]bend, 0, 2*len(members))
	for i := range members {
		m := &members[i]
		c.total += m.demand
		least += m.least
		most += m.most
		if m.least < m.most {
			bends = append(bends, bend{m.least / m.weight, m.weight}, bend{m.most / m.weight, -m.weight})
		}
	}
	if c.total <= 0 {
		return c
	}
	c.floor, c.ceiling = least/c.total, most/c.total
	slices.SortFunc(bends, func(a, b bend) int { return cmp.Compare(a.x, b.x) })
	c.integrate(bends)
	return c
}

func (c *curve) integrate(bends []bend) {
	c.xs = make([]float64, len(bends))
	c.parts = make([]float64, len(bends))
	c.slopes = make([]float64, len(bends))
	part, slope, x := c.floor, 0.0, 0.0
	for i, b := range bends {
		part += slope * (b.x - x)
		slope = max(0, slope+b.change/c.total)
		x = b.x
		c.xs[i], c.parts[i], c.slopes[i] = x, part, slope
	}
}

// at returns the part of the requests whose number is below x.
func (c *curve) at(x float64) float64 {
	i, _ := slices.BinarySearch(c.xs, x)
	if i == 0 {
		return c.floor
	}
	return min(c.ceiling, c.parts[i-1]+c.slopes[i-1]*(x-c.xs[i-1]))
}

// number returns the number below which the given part of the requests lies.
func (c *curve) number(part float64) float64 {
	i, _ := slices.BinarySearch(c.parts, part)
	if i == 0 {
		return 0
	}
	if c.slopes[i-1] <= 0 {
		return c.xs[i-1]
	}
	return c.xs[i-1] + (part-c.parts[i-1])/c.slopes[i-1]
}

// position returns the position of a request of m in the distribution. u is evenly distributed in
// [0, 1).
func (c *curve) position(m *member, u float64) float64 {
	rate := u * m.demand
	switch {
	case rate < m.least:
		return c.floor * rate / m.least
	case rate >= m.most && m.most < m.demand:
		return c.ceiling + (1-c.ceiling)*(rate-m.most)/(m.demand-m.most)
	}
	return c.at(rate / m.weight)
}

// admitted returns the rate of m that a threshold at a position admits.
func (c *curve) admitted(m *member, position float64) float64 {
	switch {
	case position >= 1:
		return m.demand
	case position < c.floor:
		return m.least * position / c.floor
	case position >= c.ceiling && c.ceiling < 1:
		return m.most + (m.demand-m.most)*(position-c.ceiling)/(1-c.ceiling)
	}
	return m.served(c.number(position))
}
