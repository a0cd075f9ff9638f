// Package budget divides the slots of workers among gateways. It uses no clock, network or goroutine.
//
// The SlotAllocator is the owner's side, the SlotPool the gateway's. Slots that were withdrawn from a gateway are
// granted again only after the gateway has acknowledged the smaller grant, or after the worker has been told to refuse
// the gateway's older generations and has reported how many of its requests are still in progress.
package budget
