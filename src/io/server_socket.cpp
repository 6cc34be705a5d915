#include "io/server_socket.h"

#include <Poco/Net/SocketAddress.h>

namespace ebonymount {

Poco::Net::ServerSocket listen_at(const std::string& address, int backlog) {
    constexpr bool REUSE_ADDRESS = true;
    constexpr bool REUSE_PORT = false;
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address), REUSE_ADDRESS, REUSE_PORT);
    socket.listen(backlog);
    socket.setBlocking(false);
    return socket;
}

}  // namespace ebonymount
