package placement

// MemberCount is the number of members of a shard where enough VMs exist.
const MemberCount = memberCount
