#include "control/encode.hpp"

#include <cstring>
#include <type_traits>
#include <vector>

#include <msgpack.hpp>

#include "control/message_layout.hpp"
#include "node_protocol/crc.hpp"

namespace knotvane::control {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <class Field>
void pack(Packer &packer, const Field &field) {
    if constexpr (std::is_enum_v<Field>)
        packer.pack(static_cast<std::uint8_t>(field));
    else
        packer.pack(field);
}

template <class Kind, class Representation>
void pack(Packer &packer, const Id<Kind, Representation> &id) {
    packer.pack(id.value);
}

void pack(Packer &packer, const ProtocolVersion &version) {
    packer.pack(version.value);
}

template <class Kind, class Representation>
void pack(Packer &packer, const std::vector<Id<Kind, Representation>> &ids) {
    packer.pack_array(static_cast<std::uint32_t>(ids.size()));
    for (auto id : ids)
        packer.pack(id.value);
}

// A flat array of alternating offsets and lengths.
void pack(Packer &packer, const std::vector<ByteRange> &ranges) {
    packer.pack_array(static_cast<std::uint32_t>(2 * ranges.size()));
    for (const auto &range : ranges) {
        packer.pack(range.offset);
        packer.pack(range.length);
    }
}

// Adds the header, length and checksum, before the array.
std::string add_header(const msgpack::sbuffer &body) {
    const std::uint32_t header[2] = {static_cast<std::uint32_t>(body.size()),
                                     crc32c({body.data(), body.size()})};
    std::string out(sizeof header + body.size(), '\0');
    std::memcpy(out.data(), header, sizeof header);
    std::memcpy(out.data() + sizeof header, body.data(), body.size());
    return out;
}

} // namespace

template <class Message>
std::string encode(const Message &message) {
    using Layout = MessageLayout<Message>;
    msgpack::sbuffer body;
    Packer packer(body);
    std::apply(
        [&packer](const auto &...fields) {
            packer.pack_array(1 + sizeof...(fields));
            packer.pack(static_cast<std::uint8_t>(Layout::type));
            (pack(packer, fields), ...);
        },
        Layout::fields(message));
    return add_header(body);
}

template std::string encode(const EdgeHello &);
template std::string encode(const LeaseRenewal &);
template std::string encode(const FullStateRequest &);
template std::string encode(const VolumeServed &);
template std::string encode(const ReachabilityReport &);
template std::string encode(const Superseded &);
template std::string encode(const NodeHello &);
template std::string encode(const NodeRenewal &);
template std::string encode(const StatusRequest &);
template std::string encode(const DrainRequest &);
template std::string encode(const SnapshotRequest &);
template std::string encode(const SnapshotStepReport &);
template std::string encode(const DiffReport &);
template std::string encode(const UpdateBegin &);
template std::string encode(const NodeUpdate &);
template std::string encode(const PlanUpdate &);
template std::string encode(const VolumeUpdate &);
template std::string encode(const QuotaShareUpdate &);
template std::string encode(const NodeRemoval &);
template std::string encode(const PlanRemoval &);
template std::string encode(const VolumeRemoval &);
template std::string encode(const QuotaShareRemoval &);
template std::string encode(const UpdateEnd &);
template std::string encode(const LeaseRenewed &);
template std::string encode(const NodeStateNotice &);
template std::string encode(const Status &);
template std::string encode(const OperationResult &);
template std::string encode(const ReachabilityRequest &);
template std::string encode(const SnapshotHold &);
template std::string encode(const SnapshotResume &);
template std::string encode(const SnapshotRelease &);
template std::string encode(const SnapshotOpen &);
template std::string encode(const SnapshotSeal &);
template std::string encode(const SnapshotDrop &);
template std::string encode(const CloneOpen &);
template std::string encode(const DiffRequest &);

} // namespace knotvane::control
