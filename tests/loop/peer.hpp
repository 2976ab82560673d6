/// \file
/// A scripted peer on a loopback socket, for tests of programs with real sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace knotvane::loop {

/// A blocking socket of a scripted peer, such as a client or a node. Every wait has a timeout.
class Peer {
public:
    /// How the other side has closed the connection, if it has.
    enum class CloseKind { open, end_of_stream, reset };

    explicit Peer(int fd = -1) : fd_(fd) {}
    ~Peer() { close(); }
    Peer(Peer &&other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Peer &operator=(Peer &&other) noexcept {
        close();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    static Peer listen_on(const std::string &address = "127.0.0.1:0") {
        auto peer = unconnected();
        int on = 1;
        ::setsockopt(peer.fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto parsed = parse(address);
        if (::bind(peer.fd_, reinterpret_cast<sockaddr *>(&parsed), sizeof parsed) != 0 ||
            ::listen(peer.fd_, 64) != 0)
            throw std::runtime_error("scripted peer can't listen on " + address);
        return peer;
    }
    static Peer unconnected() { return Peer(::socket(AF_INET, SOCK_STREAM, 0)); }
    static Peer connect_to(const std::string &address) {
        auto peer = unconnected();
        peer.connect(address);
        return peer;
    }
    void connect(const std::string &address) const {
        auto parsed = parse(address);
        int on = 1;
        if (::connect(fd_, reinterpret_cast<sockaddr *>(&parsed), sizeof parsed) != 0)
            throw std::runtime_error("scripted peer can't connect to " + address);
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    /// Returns the socket's own address, "host:port".
    std::string address() const {
        sockaddr_in own{};
        socklen_t size = sizeof own;
        ::getsockname(fd_, reinterpret_cast<sockaddr *>(&own), &size);
        return "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
    }
    /// Waits for bytes, a close, or a connection to accept; returns false on a timeout.
    bool wait_readable(int timeout_ms) const {
        pollfd polled{fd_, POLLIN, 0};
        return ::poll(&polled, 1, timeout_ms) == 1;
    }
    Peer accept(int timeout_ms = 3000) const {
        if (!wait_readable(timeout_ms))
            throw std::runtime_error("no connection arrived within " + std::to_string(timeout_ms) +
                                     " ms");
        return Peer(::accept(fd_, nullptr, nullptr));
    }
    /// Returns false if the other side has reset the connection.
    bool send(std::string_view bytes) const {
        while (!bytes.empty()) {
            auto count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    /// Returns the received bytes up to and including `delimiter`; fewer if nothing more arrives
    /// within the timeout or the connection ends.
    std::string read_until(const std::string &delimiter, int timeout_ms = 3000) {
        while (received_.find(delimiter) == std::string::npos &&
               read_some(timeout_ms) == CloseKind::open && !timed_out_) {
        }
        auto end = received_.find(delimiter);
        auto bytes = received_.substr(0, end == std::string::npos ? end : end + delimiter.size());
        received_.erase(0, bytes.size());
        return bytes;
    }
    /// Reads until the other side closes, or nothing arrives within the timeout.
    /// @param received set to the bytes that were read and not yet returned.
    /// @return how the connection was closed; open after a timeout.
    CloseKind read_to_end(std::string &received, int timeout_ms = 3000) {
        CloseKind close_kind = CloseKind::open;
        while ((close_kind = read_some(timeout_ms)) == CloseKind::open && !timed_out_) {
        }
        received = std::exchange(received_, {});
        return close_kind;
    }
    CloseKind read_to_end(int timeout_ms = 3000) {
        std::string received;
        return read_to_end(received, timeout_ms);
    }
    void finish_sending() const { ::shutdown(fd_, SHUT_WR); }
    void close() {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    void reset() {
        linger on{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &on, sizeof on);
        close();
    }

private:
    static sockaddr_in parse(const std::string &address) {
        sockaddr_in parsed{};
        parsed.sin_family = AF_INET;
        auto colon = address.find(':');
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
        parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        return parsed;
    }
    CloseKind read_some(int timeout_ms) {
        timed_out_ = !wait_readable(timeout_ms);
        if (timed_out_)
            return CloseKind::open;
        char buffer[16384];
        auto count = ::recv(fd_, buffer, sizeof buffer, 0);
        if (count > 0)
            received_.append(buffer, static_cast<std::size_t>(count));
        return count > 0    ? CloseKind::open
               : count == 0 ? CloseKind::end_of_stream
                            : CloseKind::reset;
    }
    int fd_;
    /// Whether the last wait for bytes ran into its timeout.
    bool timed_out_ = false;
    /// Bytes read from the socket that the test hasn't taken yet.
    std::string received_;
};

} // namespace knotvane::loop
