#include "nbd/negotiation.hpp"

#include <optional>
#include <utility>

#include "nbd/wire.hpp"

namespace knotvane::nbd {
namespace {

/// A longer option is answered with NBD_REP_ERR_TOO_BIG: names and context queries are far shorter.
constexpr std::uint32_t max_option_bytes = 64 * 1024;
/// A longer option ends the session: the stream is taken to be corrupt.
constexpr std::uint32_t max_skipped_option_bytes = 1 << 24;
/// Number of options after which a client must have chosen an export: prevents a negotiation that
/// never ends.
constexpr std::uint32_t max_options = 1024;
/// Size of the magic, option and length fields before an option's data.
constexpr std::size_t option_header_bytes = 16;
/// Number of zero bytes after the answer to EXPORT_NAME.
constexpr std::size_t export_name_padding_bytes = 124;

constexpr std::string_view allocation_context_name = "base:allocation";
constexpr std::string_view base_namespace = "base:";

constexpr std::string_view truncated_option = "option is cut short";
constexpr std::string_view length_mismatch = "lengths in the option do not add up";

/// The data of LIST_META_CONTEXT and SET_META_CONTEXT.
struct MetaContextQuery {
    std::string_view export_name;
    std::uint32_t queries = 0;
    bool matches_allocation = false; ///< One of the queries asks for base:allocation.
    bool lists_base = false;         ///< One of the queries is "base:".
};

/// Parses the data of a meta context option.
/// @return a description of the error in the data; empty if there is none.
std::string_view parse(std::string_view data, MetaContextQuery &parsed) {
    if (data.size() < 8)
        return truncated_option;
    auto name_bytes = get<std::uint32_t>(data, 0);
    if (name_bytes > max_string_bytes || data.size() < 8 + std::size_t{name_bytes})
        return length_mismatch;
    parsed.export_name = data.substr(4, name_bytes);
    parsed.queries = get<std::uint32_t>(data, 4 + name_bytes);

    std::size_t at = 8 + std::size_t{name_bytes};
    for (std::uint32_t i = 0; i < parsed.queries; ++i) {
        if (data.size() - at < 4 || get<std::uint32_t>(data, at) > data.size() - at - 4)
            return length_mismatch;
        auto query_bytes = get<std::uint32_t>(data, at);
        auto query = data.substr(at + 4, query_bytes);
        parsed.matches_allocation |= query == allocation_context_name;
        parsed.lists_base |= query == base_namespace;
        at += 4 + std::size_t{query_bytes};
    }
    return at == data.size() ? std::string_view{} : "bytes past the last query";
}

} // namespace

Negotiation::Negotiation(RequestHandler &handler, std::string &output)
    : handler_(handler), output_(output) {
    put(output_, init_magic);
    put(output_, option_magic);
    put<std::uint16_t>(output_, flag_fixed_newstyle | flag_no_zeroes);
}

bool Negotiation::step(InputBuffer &input) {
    return state_ == State::client_flags ? step_client_flags(input) : step_option(input);
}

bool Negotiation::step_client_flags(InputBuffer &input) {
    auto unread = input.unread();
    if (unread.size() < sizeof(std::uint32_t))
        return false;
    auto flags = get<std::uint32_t>(unread, 0);
    input.consume(sizeof flags);
    constexpr std::uint32_t known_flags = flag_fixed_newstyle | flag_no_zeroes;
    if ((flags & ~known_flags) != 0 || (flags & flag_fixed_newstyle) == 0) {
        end("handshake: unsupported client flags " + std::to_string(flags) +
            "; expected fixed newstyle (1), optionally with no zeroes (2)");
        return false;
    }
    no_zeroes_ = (flags & flag_no_zeroes) != 0;
    state_ = State::options;
    return true;
}

bool Negotiation::step_option(InputBuffer &input) {
    auto unread = input.unread();
    if (unread.size() < option_header_bytes)
        return false;
    if (get<std::uint64_t>(unread, 0) != option_magic) {
        end("handshake: an option does not begin with the magic IHAVEOPT");
        return false;
    }
    auto option = get<std::uint32_t>(unread, 8);
    auto length = get<std::uint32_t>(unread, 12);
    if (length > max_skipped_option_bytes) {
        end("handshake: option has " + std::to_string(length) + " bytes; at most " +
            std::to_string(max_skipped_option_bytes) + " can be skipped");
        return false;
    }
    if (++received_options_ > max_options) {
        end("handshake: client sent more than " + std::to_string(max_options) +
            " options without choosing an export");
        return false;
    }
    if (length > max_option_bytes && option != opt_export_name) {
        input.consume(option_header_bytes);
        input.drop(length);
        reply(option, rep_err_too_big, "option is longer than " + std::to_string(max_option_bytes));
        return true;
    }
    if (option == opt_export_name && length > max_string_bytes) {
        end("handshake: export name has " + std::to_string(length) + " bytes; at most " +
            std::to_string(max_string_bytes) + " are allowed");
        return false;
    }
    if (unread.size() < option_header_bytes + std::size_t{length})
        return false;
    handle_option(option, unread.substr(option_header_bytes, length));
    input.consume(option_header_bytes + std::size_t{length});
    return state_ != State::ended;
}

void Negotiation::handle_option(std::uint32_t option, std::string_view data) {
    switch (option) {
    case opt_export_name:
        return handle_export_name(data);
    case opt_abort:
        reply(option, rep_ack, "");
        return end("");
    case opt_list:
        return handle_list(data);
    case opt_info:
    case opt_go:
        return handle_info_or_go(option, data);
    case opt_structured_reply:
        return handle_structured_reply(data);
    case opt_list_meta_context:
    case opt_set_meta_context:
        return handle_meta_context(option, data);
    default:
        return reply(option, rep_err_unsup, "option " + std::to_string(option) + " is not offered");
    }
}

void Negotiation::handle_export_name(std::string_view name) {
    auto info = handler_.find_export(name);
    if (!info) {
        // Limits how much of a client's input the log repeats.
        constexpr std::size_t max_logged_name_bytes = 80;
        return end("handshake: no export is named '" +
                   std::string(name.substr(0, max_logged_name_bytes)) + "'");
    }
    put(output_, info->size_bytes);
    put(output_, static_cast<std::uint16_t>(info->transmission_flags | flag_has_flags));
    if (!no_zeroes_)
        output_.append(export_name_padding_bytes, '\0');
    choose(name, *info);
}

void Negotiation::handle_list(std::string_view data) {
    if (!data.empty())
        return reply(opt_list, rep_err_invalid, "LIST takes no data");
    for (const auto &name : handler_.export_names()) {
        std::string entry;
        put(entry, static_cast<std::uint32_t>(name.size()));
        reply(opt_list, rep_server, entry + name);
    }
    reply(opt_list, rep_ack, "");
}

void Negotiation::handle_info_or_go(std::uint32_t option, std::string_view data) {
    if (data.size() < 6)
        return reply(option, rep_err_invalid, truncated_option);
    auto name_bytes = get<std::uint32_t>(data, 0);
    if (name_bytes > max_string_bytes || data.size() < 6 + std::size_t{name_bytes})
        return reply(option, rep_err_invalid, length_mismatch);
    // The number of information requests, two bytes each.
    std::size_t requests = get<std::uint16_t>(data, 4 + name_bytes);
    if (data.size() != 6 + name_bytes + 2 * requests)
        return reply(option, rep_err_invalid, length_mismatch);

    auto name = data.substr(4, name_bytes);
    auto info = handler_.find_export(name);
    if (!info)
        return reply(option, rep_err_unknown, "no such export");
    put_info(option, *info);
    reply(option, rep_ack, "");
    if (option == opt_go)
        choose(name, *info);
}

void Negotiation::put_info(std::uint32_t option, const ExportInfo &info) {
    std::string answer;
    put(answer, info_export);
    put(answer, info.size_bytes);
    put(answer, static_cast<std::uint16_t>(info.transmission_flags | flag_has_flags));
    reply(option, rep_info, answer);

    // Sent even if the client did not request it, as the specification allows: the limits apply to
    // its requests either way.
    answer.clear();
    put(answer, info_block_size);
    put(answer, info.block_sizes.minimum);
    put(answer, info.block_sizes.preferred);
    put(answer, info.block_sizes.maximum);
    reply(option, rep_info, answer);
}

void Negotiation::handle_structured_reply(std::string_view data) {
    if (!data.empty())
        return reply(opt_structured_reply, rep_err_invalid, "STRUCTURED_REPLY takes no data");
    structured_replies_ = true;
    reply(opt_structured_reply, rep_ack, "");
}

void Negotiation::handle_meta_context(std::uint32_t option, std::string_view data) {
    bool selects = option == opt_set_meta_context;
    if (selects)
        allocation_context_ = false;
    if (!structured_replies_)
        return reply(option, rep_err_invalid, "contexts need structured replies first");
    MetaContextQuery query;
    if (auto error = parse(data, query); !error.empty())
        return reply(option, rep_err_invalid, error);
    if (!handler_.find_export(query.export_name))
        return reply(option, rep_err_unknown, "no such export");

    // A list without queries asks for all contexts.
    bool lists_all = !selects && (query.queries == 0 || query.lists_base);
    if (query.matches_allocation || lists_all) {
        std::string answer;
        put(answer, selects ? allocation_context_id : 0u);
        answer += allocation_context_name;
        reply(option, rep_meta_context, answer);
        if (selects) {
            allocation_context_ = true;
            allocation_context_export_ = query.export_name;
        }
    }
    reply(option, rep_ack, "");
}

void Negotiation::reply(std::uint32_t option, std::uint32_t type, std::string_view data) {
    put(output_, option_reply_magic);
    put(output_, option);
    put(output_, type);
    put(output_, static_cast<std::uint32_t>(data.size()));
    output_ += data;
}

void Negotiation::choose(std::string_view name, const ExportInfo &info) {
    export_name_ = name;
    export_ = info;
    // A context is valid only for the export for which it was selected.
    allocation_context_ = allocation_context_ && allocation_context_export_ == name;
    state_ = State::export_chosen;
}

void Negotiation::end(std::string fault) {
    fault_ = std::move(fault);
    state_ = State::ended;
}

} // namespace knotvane::nbd
