#include "edge/plan_cache_file.hpp"

#include <cstdio>
#include <fstream>

namespace knotvane::edge {

bool write_cluster_state(const std::string &path, const std::string &bytes, bool replace) {
    const auto target = replace ? path + ".new" : path;
    std::ofstream out(target, std::ios::binary | (replace ? std::ios::trunc : std::ios::app));
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    out.close();
    return out.good() && (!replace || std::rename(target.c_str(), path.c_str()) == 0);
}

} // namespace knotvane::edge
