package peering

import (
	"cmp"
	"math"
	"time"

	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/shortage"
)

// wireShortage is the encoded form of a shortage.Report. The age is in milliseconds.
type wireShortage struct {
	// Service is empty if it is that of the entry before.
	Service string      `cbor:"1,keyasint,omitempty"`
	Home    wireAddress `cbor:"2,keyasint"`
	// ShedOffset is shed.None minus the threshold, as in wireLoad.
	ShedOffset uint16 `cbor:"3,keyasint,omitempty"`
	Weight     int    `cbor:"4,keyasint"`
	Age        int64  `cbor:"5,keyasint,omitempty"`
}

// wireCost is the encoded form of a downstream.Cost.
type wireCost struct {
	Service string `cbor:"1,keyasint"`
	// Calls is in hundredths, and SlotTime in units of slotTimeUnit.
	Calls    int64 `cbor:"2,keyasint"`
	SlotTime int64 `cbor:"3,keyasint,omitempty"`
	// Share is in percent; zero if unknown.
	Share int64 `cbor:"4,keyasint,omitempty"`
}

const (
	percent      = 100
	callsPerUnit = 100
	slotTimeUnit = 100 * time.Microsecond
	// maxCostCalls and maxSlotTime bound decoded costs.
	maxCostCalls = 1e6
	maxSlotTime  = time.Hour
)

// encodeShortages rounds ages up, so that a report doesn't become younger by being relayed.
func encodeShortages(reports []shortage.Report) []wireShortage {
	if len(reports) == 0 {
		return nil
	}
	encoded := make([]wireShortage, len(reports))
	for i, r := range reports {
		service := r.Service
		if i > 0 && service == reports[i-1].Service {
			service = ""
		}
		encoded[i] = wireShortage{Service: service, Home: wireAddress(r.Home), ShedOffset: shed.None - min(r.Threshold, shed.None), Weight: r.Weight, Age: (r.Age + time.Millisecond - 1).Milliseconds()}
	}
	return encoded
}

// decodeShortages returns the valid reports, at most shortage.MaxReports.
func decodeShortages(encoded []wireShortage) []shortage.Report {
	var reports []shortage.Report
	service := ""
	for _, w := range encoded[:min(len(encoded), shortage.MaxReports)] {
		service = cmp.Or(w.Service, service)
		if w.ShedOffset > shed.None || w.Age < 0 || w.Age > shortage.MaxAge.Milliseconds() {
			continue
		}
		report := shortage.Report{Service: service, Home: string(w.Home), Threshold: shed.None - w.ShedOffset, Weight: w.Weight, Age: milliseconds(w.Age)}
		if report.Valid() {
			reports = append(reports, report)
		}
	}
	return reports
}

// encodeCosts rounds slot times up, because zero means that they are unknown.
func encodeCosts(costs []downstream.Cost) []wireCost {
	if len(costs) == 0 {
		return nil
	}
	encoded := make([]wireCost, len(costs))
	for i, c := range costs {
		encoded[i] = wireCost{Service: c.Service, Calls: int64(math.Round(c.Calls * callsPerUnit)), SlotTime: int64((c.SlotTime + slotTimeUnit - 1) / slotTimeUnit), Share: int64(math.Round(c.Share * percent))}
	}
	return encoded
}

// decodeCosts returns the valid costs, at most downstream.MaxServices.
func decodeCosts(encoded []wireCost) []downstream.Cost {
	var costs []downstream.Cost
	for _, w := range encoded[:min(len(encoded), downstream.MaxServices)] {
		if w.Calls > maxCostCalls*callsPerUnit || w.SlotTime > int64(maxSlotTime/slotTimeUnit) {
			continue
		}
		cost := downstream.Cost{Service: w.Service, Calls: float64(w.Calls) / callsPerUnit, SlotTime: time.Duration(w.SlotTime) * slotTimeUnit, Share: float64(w.Share) / percent}
		if cost.Valid() {
			costs = append(costs, cost)
		}
	}
	return costs
}
