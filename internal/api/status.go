package api

// PathStatus of the operator port returns an InstanceStatus.
const PathStatus = "/v1/status"

// InstanceStatus describes an instance and what it knows of its failure domain.
type InstanceStatus struct {
	Instance    string        `json:"instance"`
	Incarnation string        `json:"incarnation"`
	Domain      string        `json:"domain"`
	Suspended   bool          `json:"suspended"` // admits and starts nothing until its views are confirmed
	Stopping    bool          `json:"stopping"`
	Jobs        int           `json:"jobs"`      // jobs with a record here
	OpenJobs    int           `json:"open_jobs"` // jobs owned here without a final answer
	Peers       []PeerStatus  `json:"peers"`
	Shards      []ShardStatus `json:"shards"` // of the home domain
}

// PeerStatus is another instance as this one sees it.
type PeerStatus struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Addr     string `json:"addr"`
	State    string `json:"state"` // up, connecting or silent
}

// ShardStatus is one shard as this instance sees it.
type ShardStatus struct {
	Shard   int    `json:"shard"`
	Epoch   uint64 `json:"epoch"`
	Owner   string `json:"owner"`
	Replica string `json:"replica,omitempty"` // absent while it is dead or unresponsive
	Role    string `json:"role"`              // of this instance: none, learner, replica or owner
	Jobs    int    `json:"jobs"`
}
