package settings

// Program is one of the programs of a node. Its number is the offset of its port in the internal range.
type Program int

// The programs.
const (
	ControlPlane Program = iota
	DataPlane
	ObjectCache
	lastProgram = ObjectCache
)

// PortOf returns the internal port of a program. The internal port range is the same on every machine.
func (s *Settings) PortOf(p Program) int { return s.InternalPortRange[0] + int(p) }
