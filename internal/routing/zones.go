package routing

// measure is a property of a zone by which zones are drawn.
type measure func(view, *zone) float64

// spareCapacity is what the zone's eligible targets have left.
func spareCapacity(v view, z *zone) float64 {
	_, spare := v.room(z)
	return spare
}

// fullCapacity is what the zone's eligible targets carry altogether.
func fullCapacity(v view, z *zone) float64 {
	capacity, _ := v.room(z)
	return capacity
}

// chooseZone returns the zone to pick from: the caller's own unless the call
// spills or the zone has no target for it, else one drawn by spare capacity, and
// if there is nothing to spare, the own one or one drawn by capacity.
func (p *Picker) chooseZone(table *Table, name string, view view) (*zone, bool) {
	local, localLoad := view.local(table, name)
	if local != nil && !p.spills(localLoad) {
		return local, true
	}
	if chosen, found := p.drawZone(table, view, spareCapacity); found {
		return chosen, true
	}
	if local != nil {
		return local, true
	}
	return p.drawZone(table, view, fullCapacity)
}

// spills draws whether a call leaves its zone, whose load is given.
func (p *Picker) spills(load float64) bool {
	threshold := p.config.SpillThreshold
	if load <= threshold {
		return false
	}
	return p.draw(1-threshold) < load-threshold
}

// drawZone draws a zone in proportion to the measure; false if it is zero everywhere.
func (p *Picker) drawZone(table *Table, view view, of measure) (*zone, bool) {
	total := 0.0
	for i := range table.zones {
		total += of(view, &table.zones[i])
	}
	if total <= 0 {
		return nil, false
	}
	point := p.draw(total)
	var last *zone
	for i := range table.zones {
		share := of(view, &table.zones[i])
		if share <= 0 {
			continue
		}
		last = &table.zones[i]
		point -= share
		if point < 0 {
			break
		}
	}
	return last, last != nil
}
