package backends

// idleDivisor is the part of the connections that servers accept which all processes together may
// keep idle: a quarter. The rest is left to requests in progress, and to the chance by which some
// servers get more connections than others.
const idleDivisor = 4

// IdleConnections returns how many idle connections a process may keep to all servers of a service
// together. servers is their number, maxConns the number of connections that each accepts from all
// processes, 0 if it is not known.
//
// A process that sends a request to a server every minute must not keep a connection to each of
// them: with more processes than a server accepts connections, the server would reject requests
// although it is idle.
func IdleConnections(servers, maxConns, processes int) int {
	return max(1, servers*maxConns/(idleDivisor*max(1, processes)))
}
