// Package shortage passes reports on services that are short of capacity from node to node.
package shortage
