package placement

// MemberCount is the number of members of a shard if there are enough VMs.
const MemberCount = memberCount
