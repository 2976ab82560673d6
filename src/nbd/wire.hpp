// The numbers of the NBD protocol, as its specification names them, and big-endian fields.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace knotvane::nbd {

inline constexpr std::uint64_t init_magic = 0x4e42444d41474943, option_magic = 0x49484156454f5054,
                               option_reply_magic = 0x0003e889045565a9;
inline constexpr std::uint32_t request_magic = 0x25609513, simple_reply_magic = 0x67446698,
                               structured_reply_magic = 0x668e33ef;

// Handshake flags, the same bits from either side.
inline constexpr std::uint16_t flag_fixed_newstyle = 1, flag_no_zeroes = 2;

// Options and the replies to them.
inline constexpr std::uint32_t opt_export_name = 1, opt_abort = 2, opt_list = 3, opt_info = 6,
                               opt_go = 7, opt_structured_reply = 8, opt_list_meta_context = 9,
                               opt_set_meta_context = 10;
inline constexpr std::uint32_t rep_ack = 1, rep_server = 2, rep_info = 3, rep_meta_context = 4,
                               rep_err_unsup = 0x80000001, rep_err_invalid = 0x80000003,
                               rep_err_unknown = 0x80000006, rep_err_too_big = 0x80000009;
inline constexpr std::uint16_t info_export = 0, info_block_size = 3;

// Transmission flags.
inline constexpr std::uint16_t flag_has_flags = 1, flag_read_only = 2, flag_send_flush = 4,
                               flag_send_fua = 8, flag_send_trim = 32, flag_send_write_zeroes = 64,
                               flag_send_df = 128, flag_can_multi_conn = 256,
                               flag_send_cache = 1024, flag_send_fast_zero = 2048;

// Commands, their flags, and the chunks of structured replies.
inline constexpr std::uint16_t cmd_read = 0, cmd_write = 1, cmd_disc = 2, cmd_flush = 3,
                               cmd_trim = 4, cmd_cache = 5, cmd_write_zeroes = 6,
                               cmd_block_status = 7;
inline constexpr std::uint16_t cmd_flag_fua = 1, cmd_flag_no_hole = 2, cmd_flag_df = 4,
                               cmd_flag_req_one = 8, cmd_flag_fast_zero = 16;
inline constexpr std::uint16_t reply_flag_done = 1, reply_type_none = 0, reply_type_offset_data = 1,
                               reply_type_offset_hole = 2, reply_type_block_status = 5,
                               reply_type_error = 0x8001, reply_type_error_offset = 0x8002;

// Errors.
inline constexpr std::uint32_t e_perm = 1, e_io = 5, e_nomem = 12, e_inval = 22, e_nospc = 28,
                               e_overflow = 75, e_notsup = 95, e_shutdown = 108;

template <class T>
void put(std::string &to, T v) {
    for (int shift = (static_cast<int>(sizeof v) - 1) * 8; shift >= 0; shift -= 8)
        to.push_back(static_cast<char>(static_cast<std::uint64_t>(v) >> shift));
}

// Reads one field at a byte offset; the caller has made sure that it is there.
template <class T>
T get(std::string_view from, std::size_t at) {
    std::uint64_t v = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        v = v << 8 | static_cast<unsigned char>(from[at + i]);
    return static_cast<T>(v);
}

} // namespace knotvane::nbd
