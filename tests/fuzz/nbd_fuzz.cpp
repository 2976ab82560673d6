// Feeds arbitrary client bytes to an NBD session: it must not crash, must stay within its limits,
// and must end every request that it passed on at most once. Built with libFuzzer, or with a fixed
// set of inputs for the tests.
#include <cstdio>
#include <cstdlib>

#include "../nbd/helpers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    using namespace knotvane::nbd;
    RecordingHandler handler;
    Session session(handler, 8, 65536);
    // The first byte sets the size of the pieces in which the rest arrives; some requests are
    // answered between the pieces.
    std::size_t piece_bytes = size > 0 ? 1 + data[0] : 1;
    std::string_view input(reinterpret_cast<const char *>(data), size);
    for (std::size_t position = 1; position < size; position += piece_bytes) {
        session.receive(input.substr(position, piece_bytes));
        if (session.in_flight() > 8)
            std::abort();
        if (handler.ids.size() % 3 == 2)
            session.reply_done(handler.ids[handler.ids.size() / 2]);
        if (handler.ids.size() % 5 == 4)
            session.reply_error(handler.ids[handler.ids.size() / 3], e_io, "fuzz");
    }
    for (auto id : handler.ids)
        session.reply_error(id, e_io, "end");
    return 0;
}
