package routing

// zoneWeight returns the weight of a zone in a random draw.
type zoneWeight func(evaluator, *zone) float64

// spareCapacity is the zoneWeight by spare capacity of the eligible targets.
func spareCapacity(e evaluator, z *zone) float64 {
	_, spare := e.zoneCapacity(z)
	return spare
}

// fullCapacity is the zoneWeight by total capacity of the eligible targets.
func fullCapacity(e evaluator, z *zone) float64 {
	capacity, _ := e.zoneCapacity(z)
	return capacity
}

// chooseZone returns the zone to pick from. It chooses the caller's zone, unless that
// zone has no eligible target or the call spills over. In these cases it draws a zone
// by spare capacity. If no zone has spare capacity, it chooses the caller's zone, or
// draws one by total capacity if the caller's zone has no eligible target.
func (p *Picker) chooseZone(table *Table, name string, e evaluator) (*zone, bool) {
	local, localLoad := e.localZone(table, name)
	if local != nil && !p.shouldSpill(localLoad) {
		return local, true
	}
	if chosen, found := p.drawZone(table, e, spareCapacity); found {
		return chosen, true
	}
	if local != nil {
		return local, true
	}
	return p.drawZone(table, e, fullCapacity)
}

// shouldSpill randomly decides whether a call spills over from its zone, which has
// the given load.
func (p *Picker) shouldSpill(load float64) bool {
	threshold := p.config.SpillThreshold
	if load <= threshold {
		return false
	}
	return p.draw(1-threshold) < load-threshold
}

// drawZone draws a zone at random by weight. It returns false if all weights are
// zero.
func (p *Picker) drawZone(table *Table, e evaluator, weight zoneWeight) (*zone, bool) {
	total := 0.0
	for i := range table.zones {
		total += weight(e, &table.zones[i])
	}
	if total <= 0 {
		return nil, false
	}
	point := p.draw(total)
	var last *zone
	for i := range table.zones {
		share := weight(e, &table.zones[i])
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
