/// \file
/// The constants of the NBD protocol, named as in its specification but without the prefix NBD_,
/// and functions for big-endian fields.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace knotvane::nbd {

/// "NBDMAGIC", the first bytes that a server sends.
inline constexpr std::uint64_t init_magic = 0x4e42444d41474943;
/// "IHAVEOPT", before the server's handshake flags and before each option.
inline constexpr std::uint64_t option_magic = 0x49484156454f5054;
inline constexpr std::uint64_t option_reply_magic = 0x0003e889045565a9;
inline constexpr std::uint32_t request_magic = 0x25609513;
inline constexpr std::uint32_t simple_reply_magic = 0x67446698;
inline constexpr std::uint32_t structured_reply_magic = 0x668e33ef;

// Handshake flags, with the same bits in both directions.
inline constexpr std::uint16_t flag_fixed_newstyle = 1;
inline constexpr std::uint16_t flag_no_zeroes = 2;

// Options.
inline constexpr std::uint32_t opt_export_name = 1;
inline constexpr std::uint32_t opt_abort = 2;
inline constexpr std::uint32_t opt_list = 3;
inline constexpr std::uint32_t opt_info = 6;
inline constexpr std::uint32_t opt_go = 7;
inline constexpr std::uint32_t opt_structured_reply = 8;
inline constexpr std::uint32_t opt_list_meta_context = 9;
inline constexpr std::uint32_t opt_set_meta_context = 10;

// Replies to options, and the kinds of information in rep_info.
inline constexpr std::uint32_t rep_ack = 1;
inline constexpr std::uint32_t rep_server = 2;
inline constexpr std::uint32_t rep_info = 3;
inline constexpr std::uint32_t rep_meta_context = 4;
inline constexpr std::uint32_t rep_err_unsup = 0x80000001;
inline constexpr std::uint32_t rep_err_invalid = 0x80000003;
inline constexpr std::uint32_t rep_err_unknown = 0x80000006;
inline constexpr std::uint32_t rep_err_too_big = 0x80000009;
inline constexpr std::uint16_t info_export = 0;
inline constexpr std::uint16_t info_block_size = 3;

// Transmission flags.
inline constexpr std::uint16_t flag_has_flags = 1;
inline constexpr std::uint16_t flag_read_only = 2;
inline constexpr std::uint16_t flag_send_flush = 4;
inline constexpr std::uint16_t flag_send_fua = 8;
inline constexpr std::uint16_t flag_send_trim = 32;
inline constexpr std::uint16_t flag_send_write_zeroes = 64;
inline constexpr std::uint16_t flag_send_df = 128;
inline constexpr std::uint16_t flag_can_multi_conn = 256;
inline constexpr std::uint16_t flag_send_cache = 1024;
inline constexpr std::uint16_t flag_send_fast_zero = 2048;

// Commands and their flags.
inline constexpr std::uint16_t cmd_read = 0;
inline constexpr std::uint16_t cmd_write = 1;
inline constexpr std::uint16_t cmd_disc = 2;
inline constexpr std::uint16_t cmd_flush = 3;
inline constexpr std::uint16_t cmd_trim = 4;
inline constexpr std::uint16_t cmd_cache = 5;
inline constexpr std::uint16_t cmd_write_zeroes = 6;
inline constexpr std::uint16_t cmd_block_status = 7;
inline constexpr std::uint16_t cmd_flag_fua = 1;
inline constexpr std::uint16_t cmd_flag_no_hole = 2;
inline constexpr std::uint16_t cmd_flag_df = 4;
inline constexpr std::uint16_t cmd_flag_req_one = 8;
inline constexpr std::uint16_t cmd_flag_fast_zero = 16;

// Chunks of structured replies.
inline constexpr std::uint16_t reply_flag_done = 1;
inline constexpr std::uint16_t reply_type_none = 0;
inline constexpr std::uint16_t reply_type_offset_data = 1;
inline constexpr std::uint16_t reply_type_offset_hole = 2;
inline constexpr std::uint16_t reply_type_block_status = 5;
inline constexpr std::uint16_t reply_type_error = 0x8001;
inline constexpr std::uint16_t reply_type_error_offset = 0x8002;

/// Error values of replies.
enum ErrorCode : std::uint32_t {
    e_perm = 1,
    e_io = 5,
    e_nomem = 12,
    e_inval = 22,
    e_nospc = 28,
    e_overflow = 75,
    e_notsup = 95,
    e_shutdown = 108
};

/// Appends an integer as a big-endian field.
template <class T>
void put(std::string &to, T value) {
    for (int shift = (static_cast<int>(sizeof value) - 1) * 8; shift >= 0; shift -= 8)
        to.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> shift));
}

/// Reads a big-endian field at a byte offset; the caller must ensure that `from` contains it.
template <class T>
T get(std::string_view from, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value = value << 8 | static_cast<unsigned char>(from[at + i]);
    return static_cast<T>(value);
}

} // namespace knotvane::nbd
