// Opens the listening sockets of a process.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <string>

namespace ebonymount {

/// Listens at an address (IPv4 and port; port 0 lets the system choose), without blocking. Throws
/// Poco::Exception with the code EADDRINUSE if another socket listens there. The address is not
/// shared: the system would deal the connections out between both listeners, so that some callers
/// would reach a process that is about to end, or another one.
Poco::Net::ServerSocket listen_at(const std::string& address, int backlog);

}  // namespace ebonymount
