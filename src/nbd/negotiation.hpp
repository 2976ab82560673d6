/// \file
/// The handshake of an NBD session: fixed newstyle negotiation of options until the client has
/// chosen an export.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "nbd/input_buffer.hpp"
#include "nbd/request_handler.hpp"

namespace knotvane::nbd {

/// Id, within a session, of base:allocation, the only meta context that is supported.
inline constexpr std::uint32_t allocation_context_id = 1;
/// The specification's limit on the length of strings, in bytes.
inline constexpr std::size_t max_string_bytes = 4096;

/// Negotiates one session; the owner calls step() until an export is chosen or the session is over.
class Negotiation {
public:
    enum class State {
        client_flags,  ///< Waiting for the client's handshake flags.
        options,       ///< Waiting for options.
        export_chosen, ///< Requests follow.
        ended          ///< The session is over, see fault().
    };

    /// Writes the server's greeting.
    /// @param handler provides the exports.
    /// @param output receives replies; both must outlive the negotiation.
    Negotiation(RequestHandler &handler, std::string &output);

    /// Handles the next message. Call only in the states client_flags and options.
    /// @return false if the message has not fully arrived, or the session is over.
    bool step(InputBuffer &input);

    State state() const { return state_; }
    /// Why the session has ended; empty if the client ended it.
    const std::string &fault() const { return fault_; }

    // Results, once an export is chosen.
    const std::string &export_name() const { return export_name_; }
    const ExportInfo &chosen_export() const { return export_; }
    bool structured_replies() const { return structured_replies_; }
    /// Whether the client may request the block status.
    bool allocation_context() const { return allocation_context_; }

private:
    bool step_client_flags(InputBuffer &input);
    bool step_option(InputBuffer &input);
    void handle_option(std::uint32_t option, std::string_view data);
    void handle_export_name(std::string_view name);
    void handle_list(std::string_view data);
    void handle_info_or_go(std::uint32_t option, std::string_view data);
    void handle_structured_reply(std::string_view data);
    void handle_meta_context(std::uint32_t option, std::string_view data);
    void put_info(std::uint32_t option, const ExportInfo &info);
    void reply(std::uint32_t option, std::uint32_t type, std::string_view data);
    void choose(std::string_view name, const ExportInfo &info);
    void end(std::string fault);

    RequestHandler &handler_;
    std::string &output_;
    State state_ = State::client_flags;
    std::uint32_t received_options_ = 0;
    bool no_zeroes_ = false;
    bool structured_replies_ = false;
    bool allocation_context_ = false;
    std::string allocation_context_export_; // the export that the context was selected for
    std::string export_name_;
    ExportInfo export_;
    std::string fault_;
};

} // namespace knotvane::nbd
