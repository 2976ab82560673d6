/// \file
/// One client's NBD connection at an edge.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "edge/edge_state.hpp"
#include "edge/ids.hpp"
#include "nbd/session.hpp"

namespace knotvane::edge {

class RequestSplitter;

/// Passes a client's requests on to the splitter and sends the replies to the client.
class ClientSession final : public nbd::RequestHandler {
public:
    /// @param state and splitter must outlive the session.
    ClientSession(ClientId id, EdgeState &state, RequestSplitter &splitter);

    ClientId id() const { return id_; }
    nbd::Session &nbd() { return nbd_; }
    /// The volume that the client has opened; null until it has opened one.
    OpenVolume *volume() { return volume_; }
    /// This client's requests that have not ended.
    std::set<ClientRequestId> &requests() { return requests_; }

    /// Whether the client has announced its disconnect or violated the protocol.
    bool ended() const { return ended_; }

    /// Fails the request if the client's snapshot or clone was dropped.
    /// @return whether the request was failed.
    bool fail_if_dropped(nbd::Cookie request);
    /// Answers a flush that has reached all stores: with an error if writes were lost since the
    /// last loss that was reported to this client.
    void reply_flushed(nbd::Cookie request);

    /// Hands pending output to the shell and pauses or resumes reading.
    void flush_output();
    /// Hands the remaining output to the shell before the connection is closed.
    void flush_last_output();
    /// Reports that the socket has taken this many of the bytes handed to the shell.
    void output_sent(std::size_t bytes);
    /// Pauses reading before the client's first byte.
    void pause_from_start();

    // nbd::RequestHandler.
    std::vector<std::string> export_names() override;
    std::optional<nbd::ExportInfo> find_export(std::string_view name) override;
    void export_opened(std::string_view name) override;
    void read(nbd::Cookie request, std::uint64_t offset, std::uint32_t length) override;
    void write(nbd::Cookie request, std::uint64_t offset, std::string_view data, bool fua) override;
    void write_zeroes(nbd::Cookie request, std::uint64_t offset, std::uint32_t length, bool fua,
                      bool no_hole) override;
    void trim(nbd::Cookie request, std::uint64_t offset, std::uint32_t length, bool fua) override;
    void flush(nbd::Cookie request) override;
    void cache(nbd::Cookie request, std::uint64_t offset, std::uint32_t length) override;
    void block_status(nbd::Cookie request, std::uint64_t offset, std::uint32_t length) override;
    void session_ended(std::string_view fault) override;

private:
    ClientId id_;
    EdgeState &state_;
    RequestSplitter &splitter_;
    nbd::Session nbd_;
    OpenVolume *volume_ = nullptr;
    std::set<ClientRequestId> requests_;
    std::uint64_t reported_losses_ = 0; // of the volume's unflushed writes
    std::size_t unsent_bytes_ = 0;      // handed to the shell and not yet sent
    bool reading_paused_ = false;
    bool ended_ = false;
};

} // namespace knotvane::edge
