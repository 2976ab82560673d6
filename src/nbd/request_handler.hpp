/// \file
/// The interface through which an NBD session passes requests to its owner.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"

namespace knotvane::nbd {

/// Identifies a request within a session. Assigned by the session and never reused, unlike the
/// client's own cookies, which a client may use twice.
using Cookie = Id<struct CookieKind, std::uint64_t>;

/// Block sizes of an export in bytes.
struct BlockSizes {
    /// Offsets and lengths of requests must be multiples of this.
    std::uint32_t minimum = 1;
    std::uint32_t preferred = 1;
    /// Largest request.
    std::uint32_t maximum = 1;
};

/// The properties of an export that are sent to clients.
struct ExportInfo {
    std::uint64_t size_bytes = 0;
    /// A set of flag_read_only, flag_send_flush and so on; flag_has_flags is added.
    std::uint16_t transmission_flags = 0;
    BlockSizes block_sizes;
};

/// Receives a client's requests after the session has checked that they are well formed, supported,
/// inside the export and aligned. Each must be answered through the session, at once or later.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    /// Names of all exports, in the order in which they are listed.
    virtual std::vector<std::string> export_names() = 0;
    /// @param name empty for the default export.
    /// @return nothing if there is no such export.
    virtual std::optional<ExportInfo> find_export(std::string_view name) = 0;
    /// The client has chosen an export that find_export returned; requests follow.
    virtual void export_opened(std::string_view name) = 0;

    virtual void read(Cookie request, std::uint64_t offset, std::uint32_t length) = 0;
    /// @param data valid until the call returns.
    /// @param fua force unit access: the data must be durable before the answer.
    virtual void write(Cookie request, std::uint64_t offset, std::string_view data, bool fua) = 0;
    /// @param no_hole the space must stay allocated.
    virtual void write_zeroes(Cookie request, std::uint64_t offset, std::uint32_t length, bool fua,
                              bool no_hole) = 0;
    virtual void trim(Cookie request, std::uint64_t offset, std::uint32_t length, bool fua) = 0;
    virtual void flush(Cookie request) = 0;
    virtual void cache(Cookie request, std::uint64_t offset, std::uint32_t length) = 0;
    virtual void block_status(Cookie request, std::uint64_t offset, std::uint32_t length) = 0;

    /// The session has ended.
    /// @param fault the client's violation of the protocol; empty after a regular disconnect.
    virtual void session_ended(std::string_view fault) = 0;
};

} // namespace knotvane::nbd
