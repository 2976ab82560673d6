// Any bytes from a client: the session must not crash, must hold no more than its bounds, and must
// end every request that it passed on at most once. Built with libFuzzer, or with a fixed corpus
// for the tests.
#include <cstdio>
#include <cstdlib>

#include "../nbd/helpers.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    using namespace knotvane::nbd;
    RecordingHandler handler;
    Session s(handler, 8, 65536);
    // The first byte says in which pieces the rest comes; some requests are answered on the way.
    std::size_t piece = size > 0 ? 1 + data[0] : 1;
    std::string_view in(reinterpret_cast<const char *>(data), size);
    for (std::size_t at = 1; at < size; at += piece) {
        s.receive(in.substr(at, piece));
        if (s.in_flight() > 8)
            std::abort();
        if (handler.ids.size() % 3 == 2)
            s.reply_done(handler.ids[handler.ids.size() / 2]);
        if (handler.ids.size() % 5 == 4)
            s.reply_error(handler.ids[handler.ids.size() / 3], e_io, "fuzz");
    }
    for (auto id : handler.ids)
        s.reply_error(id, e_io, "end");
    return 0;
}
