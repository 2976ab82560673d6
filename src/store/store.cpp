#include "store/store.hpp"

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "node_protocol/crc.hpp"

namespace knotvane::store {
namespace {

// The medium is three lanes, piece by piece in turn: two areas for trees and journal, of which one
// counts, and the blocks. Each may grow for ever; a file is sparse where a lane is short.
constexpr std::uint64_t piece = 64 << 10;
constexpr std::uint64_t magic = 0x33726f7473766e6b;
constexpr std::size_t head_size = 64, record_head = 20;
constexpr std::uint64_t body_at = Store::block;
// A journal past this, and past twice what the trees take, is written anew as trees: a second or so
// of writes.
constexpr std::uint64_t journal_most = 4 << 20;
// Blocks let go of since the last flush; past it the store flushes by itself, as disks do. 64 MiB.
constexpr std::size_t most_later = 16384;
// Snapshots are refused while less than this part is free: the writes that they make copies of need
// it.
constexpr std::uint64_t reserve_part = 10;

enum Kind : char { k_write = 1, k_cut, k_drop, k_mark, k_flushed, k_closed, k_open, k_seal };

template <class T>
void put(std::string &to, T v) {
    char raw[sizeof v];
    std::memcpy(raw, &v, sizeof v);
    to.append(raw, sizeof v);
}
// Takes from the front; throws where it is too short.
template <class T>
T take(std::string_view &from) {
    T v;
    if (from.size() < sizeof v)
        throw std::runtime_error("store: a record is cut short");
    std::memcpy(&v, from.data(), sizeof v);
    from.remove_prefix(sizeof v);
    return v;
}
std::uint64_t lane(std::uint64_t which, std::uint64_t at) {
    return (at / piece * 3 + which) * piece + at % piece;
}
std::uint64_t slot_at(std::uint32_t slot) {
    return lane(2, std::uint64_t{slot - 1} * Store::block);
}

} // namespace

// A leaf has entries, an inner node kids; which it is goes by its level.
struct Store::Node {
    std::vector<Entry> entries;
    std::vector<Ptr> kids;
};

// ---- Trees. A node with one owner all the way down is changed in place; any other is copied
// first.
Store::Entry Store::find(const Branch &b, std::uint64_t at) const {
    if (!b.root || at >> (6 * (b.levels + 1)) != 0)
        return {};
    const Node *n = b.root.get();
    for (int level = b.levels; level > 0; --level) {
        n = n->kids[at >> (6 * level) & (width - 1)].get();
        if (!n)
            return {};
    }
    return n->entries[at & (width - 1)];
}
Store::Node &Store::own(Ptr &p, int level) {
    if (!p) {
        p = std::make_shared<Node>();
        ++nodes_;
        if (level == 0)
            p->entries.resize(width);
        else
            p->kids.resize(width);
    } else if (p.use_count() > 1) {
        p = std::make_shared<Node>(*p);
        ++nodes_;
        for (auto &e : p->entries)
            if (e.slot)
                ++refs_[e.slot];
    }
    return *p;
}
void Store::set(Branch &b, std::uint64_t at, Entry entry) {
    while (at >> (6 * (b.levels + 1)) != 0) {
        if (b.root) {
            auto top = std::make_shared<Node>();
            ++nodes_;
            top->kids.resize(width);
            top->kids[0] = std::move(b.root);
            b.root = std::move(top);
        }
        ++b.levels;
    }
    Node *n = &own(b.root, b.levels);
    for (int level = b.levels; level > 0; --level)
        n = &own(n->kids[at >> (6 * level) & (width - 1)], level - 1);
    auto &to = n->entries[at & (width - 1)];
    if (entry.slot) {
        if (refs_.size() <= entry.slot)
            refs_.resize(entry.slot + 1);
        if (refs_[entry.slot]++ == 0)
            ++used_;
    }
    if (to.slot)
        unref(to.slot);
    to = entry;
}
void Store::unref(std::uint32_t slot) {
    if (--refs_[slot] > 0)
        return;
    --used_;
    // Guards against a block that is written over while the durable tree still has it: not before
    // the next flush.
    free_later_.push_back(slot);
}
std::uint32_t Store::take_slot() {
    for (int i = 0; i < 2 && free_.empty() && refs_.size() > capacity_ &&
                    !(free_later_.empty() && free_soon_.empty());
         ++i)
        flush();
    if (!free_.empty()) {
        auto slot = free_.back();
        free_.pop_back();
        return slot;
    }
    if (refs_.empty())
        refs_.resize(1);
    if (refs_.size() > capacity_)
        return 0;
    refs_.push_back(0);
    return static_cast<std::uint32_t>(refs_.size() - 1);
}

// ---- Reading and writing.
bool Store::load(const Entry &e, char *to) {
    if (e.slot == 0) {
        std::memset(to, 0, block);
        return true;
    }
    medium_.read(slot_at(e.slot), to, block);
    return crc32c({to, block}) == e.crc;
}
bool Store::read(VolumeId volume, std::uint64_t offset, std::uint32_t length, std::string &to) {
    auto it = branches_.find(volume);
    std::size_t start = to.size();
    to.resize(start + length);
    char *out = to.data() + start;
    char whole[block];
    while (length > 0) {
        auto within = static_cast<std::uint32_t>(offset % block);
        std::uint32_t n = std::min(block - within, length);
        Entry e = it == branches_.end() ? Entry{} : find(it->second, offset / block);
        if (n == block) {
            if (!load(e, out))
                return false;
        } else {
            if (!load(e, whole))
                return false;
            std::memcpy(out, whole + within, n);
        }
        out += n, offset += n, length -= n;
    }
    return true;
}

void Store::apply(const Changes &changes) {
    for (auto &[volume, list] : changes) {
        auto &b = branches_[volume];
        for (auto &c : list)
            set(b, c.at, c.entry);
    }
}
void Store::log(const Changes &changes) {
    std::string record;
    for (auto &[volume, list] : changes) {
        put(record, volume.value);
        put(record, static_cast<std::uint32_t>(list.size()));
        for (auto &c : list)
            put(record, c.at), put(record, c.entry.slot), put(record, c.entry.crc);
    }
    append(k_write, record);
}
bool Store::put_all(const Changes &changes) {
    apply(changes);
    if (free_later_.size() <= most_later)
        return true;
    try {
        flush();
    } catch (const std::runtime_error &) {
        return false; // it stands, and nothing is served any more
    }
    return true;
}

bool Store::write(VolumeId volume, std::uint64_t offset, std::string_view bytes) {
    return change({volume}, offset, bytes.size(), bytes.data());
}
bool Store::zero(VolumeId volume, std::uint64_t offset, std::uint32_t length) {
    return change({volume}, offset, length, nullptr);
}
bool Store::write_both(VolumeId of, VolumeId as, std::uint64_t offset, std::string_view bytes) {
    return change({of, as}, offset, bytes.size(), bytes.data());
}
bool Store::zero_both(VolumeId of, VolumeId as, std::uint64_t offset, std::uint32_t length) {
    return change({of, as}, offset, length, nullptr);
}
// All blocks of a change go in one record, which is there or not; each into a block that nothing
// durable names.
bool Store::change(const std::vector<VolumeId> &volumes, std::uint64_t offset, std::uint64_t length,
                   const char *bytes) {
    if (broken_)
        return false;
    for (auto v : volumes)
        if (frozen(v))
            return false;
    Changes changes;
    std::vector<std::uint32_t> taken;
    auto give_back = [&] {
        free_.insert(free_.end(), taken.begin(), taken.end());
        return false;
    };
    char whole[block];
    try {
        while (length > 0) {
            auto within = static_cast<std::uint32_t>(offset % block);
            auto n = static_cast<std::uint32_t>(std::min<std::uint64_t>(block - within, length));
            auto at = offset / block;
            // Volumes that have one block in common go on with one.
            std::vector<std::pair<Entry, Entry>> done; // the old one, the new one
            for (auto volume : volumes) {
                auto it = branches_.find(volume);
                Entry old = it == branches_.end() ? Entry{} : find(it->second, at);
                auto twin = std::find_if(done.begin(), done.end(),
                                         [&](auto &d) { return n == block || d.first == old; });
                if (!bytes && n == block) {
                    if (old.slot)
                        changes[volume].push_back({at, {}});
                } else if (bytes && twin != done.end()) {
                    changes[volume].push_back({at, twin->second});
                } else if (!bytes && old.slot && twin != done.end()) {
                    changes[volume].push_back({at, twin->second});
                } else if (bytes || old.slot) {
                    std::string_view put_in(bytes, bytes ? n : 0);
                    if (n < block) {
                        if (!load(old, whole))
                            return give_back();
                        bytes ? std::memcpy(whole + within, bytes, n)
                              : std::memset(whole + within, 0, n);
                        put_in = {whole, block};
                    }
                    auto slot = take_slot();
                    if (slot == 0)
                        return give_back();
                    taken.push_back(slot);
                    Entry fresh{slot, crc32c(put_in)};
                    changes[volume].push_back({at, fresh});
                    done.emplace_back(old, fresh);
                    medium_.write(slot_at(slot), put_in);
                }
            }
            offset += n, length -= n;
            if (bytes)
                bytes += n;
        }
        if (changes.empty())
            return true;
        log(changes);
    } catch (const std::runtime_error &) {
        // A block that could not be written is no one's; a record that could not is written over by
        // the next.
        return give_back();
    }
    return put_all(changes);
}
bool Store::has_room(std::uint64_t bytes) const {
    auto blocks = bytes / block + 2; // both ends may lie in the middle of one
    return free_.size() + free_soon_.size() + free_later_.size() +
               (capacity_ - std::min(capacity_, refs_.size() - 1)) >=
           blocks;
}

std::vector<std::pair<std::uint32_t, bool>> Store::runs(VolumeId volume, std::uint64_t offset,
                                                        std::uint32_t length) {
    auto it = branches_.find(volume);
    std::vector<std::pair<std::uint32_t, bool>> out;
    while (length > 0) {
        std::uint32_t n = std::min(block - static_cast<std::uint32_t>(offset % block), length);
        bool data = it != branches_.end() && find(it->second, offset / block).slot != 0;
        if (!out.empty() && out.back().second == data)
            out.back().first += n;
        else
            out.emplace_back(n, data);
        offset += n, length -= n;
    }
    return out;
}

// ---- Durability.
void Store::flush() {
    if (broken_)
        throw std::runtime_error("store: its medium failed to make writes durable; open it anew");
    try {
        medium_.sync();
    } catch (...) {
        broken_ = true; // what the medium dropped can't be known
        throw;
    }
    // One flush later than what let go of them: until the word of a flush is durable, too, an
    // opening looks at the blocks of every record before it, and must find them as they were. Found
    // by cutting the power.
    free_.insert(free_.end(), free_soon_.begin(), free_soon_.end());
    free_soon_ = std::exchange(free_later_, {});
    if (!unflushed_)
        return;
    try {
        append(k_flushed, {});
    } catch (const std::runtime_error &) {
        // All is durable; that it is said so only saves the next opening the look at blocks.
    }
    unflushed_ = false;
    flushed_at_ = journal_at_;
    if (journal_at_ - journal_from_ > std::max(journal_most, 2 * (journal_from_ - body_at)))
        checkpoint();
}

void Store::lose() {
    // The records since are made unreadable, first and last of them alike; their blocks were new
    // ones.
    area_write(area_, flushed_at_, std::string(record_head, '\0'));
    medium_.sync();
    open();
}
void Store::close() {
    flush();
    append(k_closed, {});
}

void Store::append(char kind, std::string_view payload) {
    std::string record, covered;
    put(covered, generation_);
    put(covered, sequence_ + 1);
    covered += kind;
    covered += payload;
    put(record, crc32c(covered));
    put(record, static_cast<std::uint32_t>(payload.size()));
    put(record, sequence_ + 1);
    record += kind;
    record.append(3, '\0');
    record += payload;
    area_write(area_, journal_at_, record);
    journal_at_ += record.size(), ++sequence_;
    if (kind != k_flushed && kind != k_closed)
        unflushed_ = true;
}

void Store::replay(char kind, std::string_view p, bool durable, bool &sound) {
    switch (kind) {
    case k_write: {
        Changes changes;
        while (!p.empty()) {
            auto &list = changes[VolumeId{take<std::uint64_t>(p)}];
            for (auto n = take<std::uint32_t>(p); n > 0; --n) {
                Change c;
                c.at = take<std::uint64_t>(p), c.entry.slot = take<std::uint32_t>(p);
                c.entry.crc = take<std::uint32_t>(p);
                if (c.entry.slot > capacity_)
                    throw std::runtime_error("store: a record names a block past its end");
                list.push_back(c);
            }
        }
        // After the last flush a record may be there and its block not.
        char whole[block];
        if (!durable)
            for (auto &[volume, list] : changes)
                for (auto &c : list)
                    sound = sound && load(c.entry, whole);
        if (sound)
            apply(changes);
        break;
    }
    case k_cut: {
        VolumeId of{take<std::uint64_t>(p)}, as{take<std::uint64_t>(p)};
        cut_tree(of, as, take<std::uint8_t>(p) != 0);
        break;
    }
    case k_open: {
        VolumeId of{take<std::uint64_t>(p)}, as{take<std::uint64_t>(p)};
        take<std::uint8_t>(p);
        cut_tree(of, as, false, true, take<std::uint32_t>(p));
        break;
    }
    case k_seal: {
        auto &b = branches_[VolumeId{take<std::uint64_t>(p)}];
        b.open = false, b.frozen = true;
        branches_[b.of].sealed = branches_[b.of].epoch;
        break;
    }
    case k_drop:
        drop_tree(VolumeId{take<std::uint64_t>(p)});
        break;
    case k_mark: {
        auto incarnation = take<std::uint64_t>(p), number = take<std::uint64_t>(p);
        marks_[{incarnation, number}] = take<Time>(p);
        forget_.emplace(marks_[{incarnation, number}], Mark{incarnation, number});
        break;
    }
    default:
        break;
    }
}

// ---- The medium.
void Store::area_read(int area, std::uint64_t at, char *to, std::size_t size) {
    while (size > 0) {
        auto n = static_cast<std::size_t>(std::min<std::uint64_t>(size, piece - at % piece));
        medium_.read(lane(static_cast<std::uint64_t>(area), at), to, n);
        to += n, at += n, size -= n;
    }
}
void Store::area_write(int area, std::uint64_t at, std::string_view bytes) {
    while (!bytes.empty()) {
        auto n =
            static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), piece - at % piece));
        medium_.write(lane(static_cast<std::uint64_t>(area), at), bytes.substr(0, n));
        at += n, bytes.remove_prefix(n);
    }
}

Store::Store(Medium &medium, std::uint64_t capacity) : medium_(medium), capacity_(capacity) {
    open();
}
Store::~Store() = default;

void Store::open() {
    branches_.clear(), refs_.assign(1, 0), free_.clear(), free_soon_.clear(), free_later_.clear(),
        dying_.clear();
    marks_.clear(), forget_.clear();
    used_ = nodes_ = 0, broken_ = unflushed_ = false;
    // The area of the highest generation whose header holds.
    std::uint64_t best = 0, length = 0, sequence = 0, incarnation = 1;
    std::uint32_t sum = 0;
    bool any = false;
    for (int area = 0; area < 2; ++area) {
        std::string head(head_size, '\0');
        area_read(area, 0, head.data(), head.size());
        std::string_view h = head;
        auto is = take<std::uint64_t>(h);
        any |= is != 0;
        auto generation = take<std::uint64_t>(h), its_incarnation = take<std::uint64_t>(h),
             its_length = take<std::uint64_t>(h), its_sequence = take<std::uint64_t>(h);
        auto its_sum = take<std::uint32_t>(h);
        if (is != magic || take<std::uint32_t>(h) != crc32c(std::string_view(head).substr(0, 44)) ||
            generation <= best)
            continue;
        best = generation, area_ = area, length = its_length, sequence = its_sequence,
        incarnation = its_incarnation, sum = its_sum;
    }
    if (best == 0 && any)
        throw std::runtime_error("store: the header does not match its checksum");
    generation_ = best, sequence_ = sequence, incarnation_ = incarnation;
    if (best == 0) {
        area_ = 1;
        checkpoint();
        return;
    }
    std::string body(length, '\0');
    area_read(area_, body_at, body.data(), body.size());
    if (crc32c(body) != sum)
        throw std::runtime_error("store: its trees do not match their checksum");
    restore(body);
    journal_from_ = journal_at_ = flushed_at_ = body_at + length;
    // The journal's records in their order, until one is missing. Where the last flush stood is
    // known first: after it a record counts only with the blocks that it names.
    struct Record {
        char kind;
        std::string payload;
        std::uint64_t ends;
    };
    std::vector<Record> records;
    std::size_t durable = 0;
    for (std::uint64_t at = journal_at_, next = sequence + 1;; ++next) {
        std::string head(record_head, '\0');
        area_read(area_, at, head.data(), head.size());
        std::string_view h = head;
        auto crc = take<std::uint32_t>(h), size = take<std::uint32_t>(h);
        if (take<std::uint64_t>(h) != next || size > (64u << 20))
            break;
        Record r{h[0], std::string(size, '\0'), at + record_head + size};
        area_read(area_, at + record_head, r.payload.data(), size);
        std::string covered;
        put(covered, generation_);
        put(covered, next);
        covered += r.kind;
        covered += r.payload;
        if (crc32c(covered) != crc)
            break;
        at = r.ends;
        if (r.kind == k_flushed)
            durable = records.size() + 1;
        records.push_back(std::move(r));
    }
    bool sound = true;
    for (std::size_t i = 0; i < records.size() && sound; ++i) {
        replay(records[i].kind, records[i].payload, i < durable, sound);
        if (sound)
            journal_at_ = records[i].ends, ++sequence_;
        if (sound && i < durable)
            flushed_at_ = journal_at_;
    }
    // What came after the last flush may be gone without a trace, and who was answered must hear of
    // it; only a store that was closed had nothing left to lose.
    if (records.empty() || records.back().kind != k_closed)
        ++incarnation_;
    count();
    // A generation of its own, always: behind a record that was lost there may be others of this
    // one, which would count again once something of the same length stands in its place.
    checkpoint();
}

// References, free blocks: nothing of these is kept, all of it follows from the trees.
void Store::count() {
    std::vector<std::uint32_t> refs(refs_.size(), 0);
    std::set<const Node *> seen;
    std::vector<std::pair<const Node *, int>> todo;
    for (auto &[id, b] : branches_)
        if (b.root)
            todo.emplace_back(b.root.get(), b.levels);
    while (!todo.empty()) {
        auto [n, level] = todo.back();
        todo.pop_back();
        if (!seen.insert(n).second)
            continue;
        for (auto &e : n->entries) {
            if (refs.size() <= e.slot)
                refs.resize(e.slot + 1);
            if (e.slot)
                ++refs[e.slot];
        }
        for (auto &k : n->kids)
            if (k)
                todo.emplace_back(k.get(), level - 1);
    }
    refs_ = std::move(refs);
    nodes_ = seen.size();
    used_ = 0;
    free_.clear(), free_soon_.clear(), free_later_.clear(), dying_.clear();
    for (std::uint32_t slot = 1; slot < refs_.size(); ++slot)
        if (refs_[slot])
            ++used_;
        else
            free_.push_back(slot);
}

std::string Store::dump() const {
    // Nodes once each, kids before their parents; branches name their roots.
    std::string out;
    std::unordered_map<const Node *, std::uint32_t> ids;
    std::string nodes;
    auto walk = [&](auto &self, const Node *n) -> std::uint32_t {
        if (!n)
            return 0;
        if (auto it = ids.find(n); it != ids.end())
            return it->second;
        std::vector<std::uint32_t> kids;
        for (auto &k : n->kids)
            kids.push_back(self(self, k.get()));
        put(nodes, static_cast<std::uint8_t>(n->kids.empty() ? 0 : 1));
        for (auto k : kids)
            put(nodes, k);
        for (auto &e : n->entries)
            put(nodes, e.slot), put(nodes, e.crc);
        auto id = static_cast<std::uint32_t>(ids.size() + 1);
        return ids[n] = id;
    };
    std::string branches;
    for (auto &[id, b] : branches_) {
        put(branches, id.value);
        put(branches, walk(walk, b.root.get()));
        put(branches, static_cast<std::uint32_t>(b.levels));
        put(branches, b.of.value);
        put(branches, static_cast<std::uint8_t>((b.is_snapshot ? 1 : 0) | (b.frozen ? 2 : 0) |
                                                (b.open ? 4 : 0)));
        put(branches, b.epoch);
        put(branches, b.sealed);
    }
    put(out, static_cast<std::uint32_t>(ids.size()));
    out += nodes;
    put(out, static_cast<std::uint32_t>(branches_.size()));
    out += branches;
    put(out, static_cast<std::uint32_t>(marks_.size()));
    for (auto &[m, until] : marks_)
        put(out, m.first), put(out, m.second), put(out, until);
    return out;
}
void Store::restore(std::string_view body) {
    std::vector<Ptr> nodes(1);
    for (auto n = take<std::uint32_t>(body); n > 0; --n) {
        auto node = std::make_shared<Node>();
        if (take<std::uint8_t>(body) == 0) {
            node->entries.resize(width);
            for (auto &e : node->entries) {
                e.slot = take<std::uint32_t>(body), e.crc = take<std::uint32_t>(body);
                if (e.slot > capacity_)
                    throw std::runtime_error("store: a tree names a block past its end");
            }
        } else {
            node->kids.resize(width);
            for (auto &k : node->kids) {
                auto id = take<std::uint32_t>(body);
                if (id >= nodes.size())
                    throw std::runtime_error("store: a tree names a node that is not there");
                k = nodes[id];
            }
        }
        nodes.push_back(std::move(node));
    }
    for (auto n = take<std::uint32_t>(body); n > 0; --n) {
        auto &b = branches_[VolumeId{take<std::uint64_t>(body)}];
        auto root = take<std::uint32_t>(body);
        if (root >= nodes.size())
            throw std::runtime_error("store: a volume names a node that is not there");
        b.root = nodes[root], b.levels = static_cast<int>(take<std::uint32_t>(body));
        b.of = VolumeId{take<std::uint64_t>(body)};
        auto flags = take<std::uint8_t>(body);
        b.is_snapshot = flags & 1, b.frozen = flags & 2, b.open = flags & 4;
        b.epoch = take<std::uint32_t>(body), b.sealed = take<std::uint32_t>(body);
    }
    for (auto n = take<std::uint32_t>(body); n > 0; --n) {
        auto incarnation = take<std::uint64_t>(body), number = take<std::uint64_t>(body);
        marks_[{incarnation, number}] = take<Time>(body);
        forget_.emplace(marks_[{incarnation, number}], Mark{incarnation, number});
    }
    nodes.clear();
    count();
}

void Store::checkpoint() {
    auto body = dump();
    int other = 1 - area_;
    try {
        area_write(other, body_at, body);
    } catch (const std::runtime_error &) {
        if (generation_ == 0)
            throw;
        return; // the area that counts is untouched; another time
    }
    broken_ = true; // until all of it came about: which area counts is in doubt
    // What lies behind it is no record of this generation; the blocks that it names have to be
    // there before it counts.
    medium_.sync();
    std::string head;
    put(head, magic);
    put(head, generation_ + 1);
    put(head, incarnation_);
    put(head, static_cast<std::uint64_t>(body.size()));
    put(head, sequence_);
    put(head, crc32c(body));
    put(head, crc32c(head));
    area_write(other, 0, head);
    medium_.sync();
    area_ = other, ++generation_, broken_ = false;
    journal_from_ = journal_at_ = flushed_at_ = body_at + body.size();
    unflushed_ = false;
    for (auto *more : {&free_soon_, &free_later_}) {
        free_.insert(free_.end(), more->begin(), more->end());
        more->clear();
    }
}

// ---- Snapshots and clones.
bool Store::frozen(VolumeId volume) const {
    auto it = branches_.find(volume);
    return it != branches_.end() && it->second.frozen;
}
Store::Cut Store::cut_tree(VolumeId of, VolumeId as, bool freeze, bool open, std::uint32_t epoch) {
    if (auto it = branches_.find(as); it != branches_.end())
        return it->second.is_snapshot && it->second.of == of && it->second.frozen == freeze &&
                       it->second.open == open
                   ? Cut::exists
                   : Cut::taken;
    auto &from = branches_[of]; // what was never written is a volume of holes
    Branch source = from;
    if (open)
        from.epoch = std::max(from.epoch, epoch);
    source.of = of, source.is_snapshot = true, source.frozen = freeze, source.open = open,
    source.epoch = source.sealed = 0;
    branches_[as] = std::move(source);
    return Cut::done;
}
Store::Cut Store::make(char kind, VolumeId of, VolumeId as, bool freeze, std::uint32_t epoch) {
    bool open = kind == k_open;
    if (of == as)
        return Cut::taken;
    if (branches_.contains(as))
        return cut_tree(of, as, freeze, open);
    if (broken_)
        return Cut::failed;
    // Guards against a planner that lost count: changes of this epoch may be on both sides of the
    // cut already.
    if (open && epoch <= this->epoch(of))
        return Cut::taken;
    if (capacity_ - std::min(used_, capacity_) < capacity_ / reserve_part)
        return Cut::full;
    std::string record;
    put(record, of.value);
    put(record, as.value);
    put(record, static_cast<std::uint8_t>(freeze));
    if (open)
        put(record, epoch);
    try {
        append(kind, record);
    } catch (const std::runtime_error &) {
        return Cut::failed;
    }
    return cut_tree(of, as, freeze, open, epoch);
}
Store::Cut Store::cut(VolumeId of, VolumeId as, bool freeze) {
    auto how = make(k_cut, of, as, freeze, 0);
    if (how == Cut::done)
        flush();
    return how;
}
Store::Cut Store::open_cut(VolumeId of, VolumeId as, std::uint32_t epoch) {
    return make(k_open, of, as, false, epoch);
}
bool Store::seal(VolumeId as) {
    auto it = branches_.find(as);
    if (broken_ || it == branches_.end())
        return false;
    if (it->second.open) {
        std::string record;
        put(record, as.value);
        try {
            append(k_seal, record);
        } catch (const std::runtime_error &) {
            return false;
        }
        it->second.open = false, it->second.frozen = true;
        auto &of = branches_[it->second.of];
        of.sealed = of.epoch;
    }
    flush();
    return it->second.frozen;
}
std::uint32_t Store::epoch(VolumeId volume) const {
    auto it = branches_.find(volume);
    return it == branches_.end() ? 0 : it->second.epoch;
}
std::uint32_t Store::sealed(VolumeId volume) const {
    auto it = branches_.find(volume);
    return it == branches_.end() ? 0 : it->second.sealed;
}
std::vector<VolumeId> Store::cuts() const {
    std::vector<VolumeId> out;
    for (auto &[id, b] : branches_)
        if (b.is_snapshot)
            out.push_back(id);
    return out;
}
std::optional<VolumeId> Store::opened(VolumeId of) const {
    // A dozen snapshots, not thousands; looked for only where a write comes late.
    for (auto &[id, b] : branches_)
        if (b.open && b.of == of)
            return id;
    return std::nullopt;
}
void Store::drop_tree(VolumeId volume) {
    auto it = branches_.find(volume);
    if (it == branches_.end())
        return;
    if (it->second.root)
        dying_.emplace_back(std::move(it->second.root), it->second.levels);
    branches_.erase(it);
}
bool Store::drop(VolumeId volume) {
    if (broken_ || !branches_.contains(volume))
        return false;
    std::string record;
    put(record, volume.value);
    try {
        append(k_drop, record);
    } catch (const std::runtime_error &) {
        return false;
    }
    drop_tree(volume);
    flush();
    return true;
}
bool Store::reclaim(std::size_t nodes) {
    while (nodes-- > 0 && !dying_.empty()) {
        auto [n, level] = std::move(dying_.back());
        dying_.pop_back();
        if (n.use_count() > 1)
            continue; // another tree's, too
        --nodes_;
        for (auto &e : n->entries)
            if (e.slot)
                unref(e.slot);
        for (auto &k : n->kids)
            if (k)
                dying_.emplace_back(std::move(k), level - 1);
    }
    return !dying_.empty();
}
bool Store::shared(VolumeId volume, std::uint64_t offset) const {
    auto it = branches_.find(volume);
    if (it == branches_.end() || !it->second.root)
        return false;
    std::uint64_t at = offset / block;
    if (at >> (6 * (it->second.levels + 1)) != 0)
        return false;
    const Ptr *p = &it->second.root;
    for (int level = it->second.levels;; --level) {
        if (!*p)
            return false;
        if (p->use_count() > 1)
            return true;
        if (level == 0)
            return false;
        p = &(*p)->kids[at >> (6 * level) & (width - 1)];
    }
}

std::vector<std::pair<std::uint64_t, std::uint64_t>> Store::diff(VolumeId a, VolumeId b) const {
    std::vector<std::pair<std::uint64_t, std::uint64_t>> out;
    auto differs = [&](std::uint64_t at) {
        if (!out.empty() && out.back().first + out.back().second == at * block)
            out.back().second += block;
        else
            out.emplace_back(at * block, block);
    };
    // Side by side; what both have as one node is not looked into.
    auto walk = [&](auto &self, const Node *x, const Node *y, int level,
                    std::uint64_t from) -> void {
        if (x == y)
            return;
        for (std::size_t i = 0; i < width; ++i) {
            if (level == 0) {
                auto e = x ? x->entries[i] : Entry{}, f = y ? y->entries[i] : Entry{};
                if (!(e == f))
                    differs(from + i);
            } else {
                self(self, x ? x->kids[i].get() : nullptr, y ? y->kids[i].get() : nullptr,
                     level - 1, from + (std::uint64_t{i} << (6 * level)));
            }
        }
    };
    auto root = [&](VolumeId id, int levels, Ptr &hold) -> const Node * {
        auto it = branches_.find(id);
        if (it == branches_.end())
            return nullptr;
        hold = it->second.root;
        for (int l = it->second.levels; hold && l < levels; ++l) {
            auto top = std::make_shared<Node>();
            top->kids.resize(width);
            top->kids[0] = hold;
            hold = top;
        }
        return hold.get();
    };
    int levels = 0;
    for (auto id : {a, b})
        if (auto it = branches_.find(id); it != branches_.end())
            levels = std::max(levels, it->second.levels);
    Ptr ha, hb;
    auto *x = root(a, levels, ha), *y = root(b, levels, hb);
    walk(walk, x, y, levels, 0);
    return out;
}

// ---- Marks.
bool Store::was_done(std::uint64_t incarnation, std::uint64_t number, Time now) {
    while (!forget_.empty() && forget_.begin()->first < now) {
        auto it = marks_.find(forget_.begin()->second);
        if (it != marks_.end() && it->second < now)
            marks_.erase(it);
        forget_.erase(forget_.begin());
    }
    return marks_.contains({incarnation, number});
}
void Store::remember(std::uint64_t incarnation, std::uint64_t number, Time not_after, Time now) {
    if (was_done(incarnation, number, now))
        return;
    std::string record;
    put(record, incarnation);
    put(record, number);
    put(record, not_after);
    try {
        append(k_mark, record);
    } catch (const std::runtime_error &) {
        // It stands in memory; lost with the process, a repeat after that may be done again, as
        // after a power cut.
    }
    marks_[{incarnation, number}] = not_after;
    forget_.emplace(not_after, Mark{incarnation, number});
}

// ---- Looking after it.
std::vector<std::string> Store::check() {
    std::vector<std::string> out;
    auto say = [&](std::string what) {
        if (out.size() < 100)
            out.push_back(std::move(what));
    };
    std::vector<std::uint32_t> refs(refs_.size(), 0);
    std::set<const Node *> seen;
    std::vector<char> whole(block);
    auto walk = [&](auto &self, const Ptr &n, int level, std::uint64_t from,
                    const std::string &whose) -> void {
        if (!n || !seen.insert(n.get()).second)
            return;
        if ((level == 0) != n->kids.empty())
            return say(whose + ": a node on a wrong level");
        for (std::size_t i = 0; i < n->entries.size(); ++i) {
            auto e = n->entries[i];
            if (!e.slot)
                continue;
            if (e.slot >= refs.size()) {
                say(whose + ": block " + std::to_string(from + i) + " lies past the store's end");
                continue;
            }
            ++refs[e.slot];
            if (!load(e, whole.data()))
                say(whose + ": block " + std::to_string(from + i) + " does not match its checksum");
        }
        for (std::size_t i = 0; i < n->kids.size(); ++i)
            self(self, n->kids[i], level - 1, from + (std::uint64_t{i} << (6 * level)), whose);
    };
    for (auto &[id, b] : branches_)
        walk(walk, b.root, b.levels, 0, "volume " + std::to_string(id.value));
    for (auto &[n, level] : dying_)
        walk(walk, n, level, 0, "a dropped volume");
    for (std::uint32_t slot = 1; slot < refs_.size(); ++slot)
        if (refs[slot] != refs_[slot])
            say("block " + std::to_string(slot) + " stands in " + std::to_string(refs[slot]) +
                " leaves, counted " + std::to_string(refs_[slot]));
    std::set<std::uint32_t> spare(free_.begin(), free_.end());
    spare.insert(free_soon_.begin(), free_soon_.end());
    spare.insert(free_later_.begin(), free_later_.end());
    if (spare.size() != free_.size() + free_soon_.size() + free_later_.size())
        say("a block is free twice");
    for (std::uint32_t slot = 1; slot < refs_.size(); ++slot)
        if ((refs[slot] == 0) != spare.contains(slot))
            say("block " + std::to_string(slot) +
                (refs[slot] ? " is in use and free" : " is lost: in no tree and not free"));
    return out;
}
std::size_t Store::memory() const {
    return nodes_ * (sizeof(Node) + 32 + width * 8) + refs_.capacity() * 4 +
           (free_.capacity() + free_soon_.capacity() + free_later_.capacity()) * 4 +
           marks_.size() * 160;
}
void Store::rot(VolumeId volume, std::uint64_t offset) {
    auto it = branches_.find(volume);
    if (it == branches_.end())
        return;
    auto e = find(it->second, offset / block);
    if (!e.slot)
        return;
    std::uint64_t at = slot_at(e.slot) + offset % block;
    char byte;
    medium_.read(at, &byte, 1);
    byte = static_cast<char>(byte ^ 1);
    medium_.write(at, {&byte, 1});
}

} // namespace knotvane::store
