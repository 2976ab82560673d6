/// \file
/// One client's NBD session without any I/O: bytes in, calls out; answers in, bytes out. The same
/// session runs behind a socket, in virtual time and under the fuzzer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nbd/input_buffer.hpp"
#include "nbd/negotiation.hpp"
#include "nbd/request_handler.hpp"
#include "nbd/wire.hpp"

namespace knotvane::nbd {

/// A run of bytes with one block status.
struct BlockStatusExtent {
    std::uint32_t length_bytes = 0;
    /// 1: a hole; 2: reads as zero.
    std::uint32_t flags = 0;
};

/// The server's side of one connection. Each request that is passed on ends once, by reply_done,
/// reply_error or reply_block_status; replies to one that has ended are dropped. A reply may pass
/// on further requests before it returns.
class Session {
public:
    /// @param handler must outlive the session.
    /// @param max_in_flight requests at work at once; past it input is kept unread.
    /// @param max_request_bytes of one read or write.
    Session(RequestHandler &handler, std::uint32_t max_in_flight, std::uint32_t max_request_bytes);

    // The negotiation writes to this session's output.
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Takes what has come from the client, in any pieces.
    void receive(std::string_view bytes);
    /// Takes out what is to be sent to the client.
    std::string take_output() { return std::exchange(output_, {}); }
    std::size_t pending_output_bytes() const { return output_.size(); }

    /// Input is kept back until requests end or the owner lets it go on: nothing more should be
    /// read from the client.
    bool input_paused() const {
        return !closed_ && (paused_ || requests_.size() >= max_in_flight_);
    }
    /// Keeps input back, or takes it again, for reasons of the owner's own.
    void pause_input(bool paused);

    /// The session has ended; what is in the output is still to be sent.
    bool closed() const { return closed_; }
    std::size_t in_flight() const { return requests_.size(); }

    /// A part of a read.
    /// @param offset in the export; parts may come in any order.
    void reply_data(Cookie request, std::uint64_t offset, std::string_view data);
    void reply_done(Cookie request);
    /// @param offset where it went wrong; none if nowhere in particular.
    void reply_error(Cookie request, ErrorCode error, std::string_view message,
                     std::optional<std::uint64_t> offset = {});
    void reply_block_status(Cookie request, const std::vector<BlockStatusExtent> &extents);

private:
    /// A request as it stands on the wire, without its payload.
    struct RequestHeader {
        std::uint16_t flags;
        std::uint16_t command;
        std::uint64_t client_cookie;
        std::uint64_t offset;
        std::uint32_t length;
    };
    struct Request {
        RequestHeader header;
        bool single_reply;    // a read that must go out in one piece
        std::string gathered; // its data so far
    };
    /// Why a request isn't passed on.
    struct Rejection {
        ErrorCode error;
        std::string message;
    };

    bool step();
    bool step_negotiation();
    bool step_request();
    bool reject_long_write(const RequestHeader &header);
    bool is_offered(const RequestHeader &header) const;
    std::optional<Rejection> check(const RequestHeader &header) const;
    std::optional<Rejection> check_range(const RequestHeader &header) const;
    void start_request(const RequestHeader &header, std::string_view payload);
    void dispatch(Cookie id, const RequestHeader &header, std::string_view payload);
    void finish_request(Cookie id);
    void close(std::string_view fault);
    void put_simple_reply(std::uint64_t client_cookie, std::uint32_t error);
    void put_chunk(std::uint64_t client_cookie, std::uint16_t flags, std::uint16_t type,
                   std::size_t length);
    void put_error(std::uint64_t client_cookie, ErrorCode error, std::string_view message);

    RequestHandler &handler_;
    std::uint32_t max_in_flight_;
    std::uint32_t max_request_bytes_;
    InputBuffer input_;
    std::string output_;
    Negotiation negotiation_;
    bool transmitting_ = false; // the negotiation is over
    bool disconnecting_ = false;
    bool closed_ = false;
    bool paused_ = false;
    bool stepping_ = false;
    std::uint64_t last_cookie_ = 0;
    std::map<Cookie, Request> requests_; // in flight
};

} // namespace knotvane::nbd
