#include "planner/state_rows.hpp"

#include <array>
#include <optional>
#include <stdexcept>

#include "control/decode.hpp"
#include "control/encode.hpp"

namespace knotvane::planner {
namespace {

// Decodes the single message of a row.
template <class Message>
class RowReader final : public control::MessageHandler {
public:
    static Message read(std::string_view body) {
        RowReader reader;
        control::MessageDecoder().decode(body, reader);
        if (!reader.message_)
            throw control::ProtocolError("a row's message is incomplete");
        return *reader.message_;
    }

    using MessageHandler::handle;
    void handle(const Message &message) override { message_ = message; }

private:
    void handle_unexpected(std::string_view message) override {
        throw control::ProtocolError(std::string(message) + " is not expected in this row");
    }

    std::optional<Message> message_;
};

} // namespace

std::string encode_row(const QuotaShareRow &row) {
    const auto &holding = row.holding;
    return std::to_string(holding.share) + " " + std::to_string(holding.bound) + " " +
           std::to_string(holding.since.value) + " " + std::to_string(holding.serves) + " " +
           std::to_string(row.edge_lapsed);
}

QuotaShareRow decode_quota_share_row(std::string_view body) {
    std::array<std::uint64_t, 5> fields{};
    std::size_t begin = 0;
    for (auto &field : fields) {
        auto end = body.find(' ', begin);
        try {
            field = std::stoull(std::string(body.substr(begin, end - begin)));
        } catch (const std::exception &) {
            throw control::ProtocolError("a quota share's row is malformed: expected five numbers");
        }
        begin = end == std::string_view::npos ? body.size() : end + 1;
    }
    auto [share, bound, since, serves, lapsed] = fields;
    if (share > control::full_limit_millionths || bound > control::full_limit_millionths)
        throw control::ProtocolError("a quota share's row exceeds the whole limit");
    return {{static_cast<std::uint32_t>(share), static_cast<std::uint32_t>(bound), Version{since},
             serves != 0},
            lapsed != 0};
}

std::uint32_t decode_epoch_row(std::string_view body) {
    std::uint32_t epoch = 0;
    for (char digit : body) {
        if (digit < '0' || digit > '9')
            throw control::ProtocolError(
                "an incomplete snapshot's row is malformed: expected an epoch in digits");
        epoch = epoch * 10 + static_cast<std::uint32_t>(digit - '0');
    }
    return epoch;
}

control::Plan decode_plan_row(std::string_view body) {
    return RowReader<control::PlanUpdate>::read(body).plan;
}

control::Volume decode_volume_row(std::string_view body) {
    return RowReader<control::VolumeUpdate>::read(body).volume;
}

control::Node decode_node_row(std::string_view body) {
    return RowReader<control::NodeUpdate>::read(body).node;
}

// Stored as a NodeHello; its incarnation is 1 if the settings drain the node, else 0.
std::string encode_row(NodeId id, const DesiredState::Node &node) {
    control::NodeHello hello;
    hello.node = id;
    hello.shard = node.shard;
    hello.zone = node.zone;
    hello.address = node.address;
    hello.incarnation = node.draining ? 1 : 0;
    return control::encode(hello);
}

DesiredState::Node decode_desired_node_row(std::string_view body) {
    auto hello = RowReader<control::NodeHello>::read(body);
    return {hello.shard, hello.zone, hello.incarnation != 0, hello.address, 0};
}

} // namespace knotvane::planner
