/// \file
/// One client's NBD session without any I/O: it turns received bytes into calls of a handler, and
/// the handler's replies into bytes to send. The same code runs behind a socket, in virtual time
/// and under the fuzzer.
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

/// A range of bytes that has one block status.
struct BlockStatusExtent {
    std::uint32_t length_bytes = 0;
    /// Bit 0 (value 1): a hole; bit 1 (value 2): reads as zeroes.
    std::uint32_t flags = 0;
};

/// The server's side of one connection. Each request that is passed on ends once, by reply_done,
/// reply_error or reply_block_status; replies to one that has ended are dropped. A reply may pass
/// on further requests before it returns.
class Session {
public:
    /// @param handler must outlive the session.
    /// @param max_in_flight requests in flight at once; at this limit no more input is processed.
    /// @param max_request_bytes the largest read or write.
    Session(RequestHandler &handler, std::uint32_t max_in_flight, std::uint32_t max_request_bytes);

    // The negotiation writes to this session's output.
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Processes bytes from the client, which may be split anywhere.
    void receive(std::string_view bytes);
    /// Removes and returns the bytes to be sent to the client.
    std::string take_output() { return std::exchange(output_, {}); }
    std::size_t pending_output_bytes() const { return output_.size(); }

    /// Whether input is held back until requests end or the owner resumes it: the owner should not
    /// read from the client meanwhile.
    bool input_paused() const {
        return !closed_ && (paused_ || requests_.size() >= max_in_flight_);
    }
    /// Holds input back, or resumes it, as the owner requires.
    void pause_input(bool paused);

    /// Whether the session has ended; remaining output must still be sent.
    bool closed() const { return closed_; }
    std::size_t in_flight() const { return requests_.size(); }

    /// Passes a part of a read's data.
    /// @param offset in the export; parts may come in any order.
    void reply_data(Cookie request, std::uint64_t offset, std::string_view data);
    void reply_done(Cookie request);
    /// @param offset where the error occurred; none if at no particular offset.
    void reply_error(Cookie request, ErrorCode error, std::string_view message,
                     std::optional<std::uint64_t> offset = {});
    void reply_block_status(Cookie request, const std::vector<BlockStatusExtent> &extents);

private:
    /// The fields of a request on the wire, without its payload.
    struct RequestHeader {
        std::uint16_t flags;
        std::uint16_t command;
        std::uint64_t client_cookie;
        std::uint64_t offset;
        std::uint32_t length;
    };
    struct Request {
        RequestHeader header;
        bool single_reply;    // a read's data must be sent in one piece
        std::string gathered; // the data received so far if single_reply is set
    };
    /// Why a request is not passed to the handler.
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
