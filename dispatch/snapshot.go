package dispatch

// LevelSnapshot is what requests of an urgency level got since the host started, in services that
// have several levels.
type LevelSnapshot struct {
	// Level is 0 for the most urgent requests.
	Level int `json:"level"`
	// AndFurther says that less urgent levels count here, too.
	AndFurther bool `json:"and_further,omitempty"`
	// Places is the number of slots on decode engines, Refused that of requests refused.
	Places  int64 `json:"places"`
	Refused int64 `json:"refused"`
}

// Levels returns what requests of each urgency level got, the most urgent one first.
func (g *Gate) Levels() []LevelSnapshot {
	levels := make([]LevelSnapshot, countedLevels)
	for i := range levels {
		levels[i] = LevelSnapshot{
			Level: i, AndFurther: i == countedLevels-1, Places: g.urgency.places[i].Value(), Refused: g.urgency.refused[i].Value(),
		}
	}
	return levels
}
