/// An object in the store to which all VMs add entries, so that they survive a restart of all VMs.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/net.h"
#include "store/store.h"

namespace stackquay {

/// How the entries of one object are stored. Times are stored as wall clock time, because the
/// steady clocks of VMs have no common origin.
template<typename Entry>
struct RecordFormat {
    std::string m_kind;
    std::string m_name;
    std::string m_subject; ///< What the entries are, for log lines.
    std::string (*m_encode)(const std::vector<Entry> &entries, WallTime now) = nullptr;
    Result<std::vector<Entry>> (*m_decode)(const std::string &spec, WallTime now) = nullptr;
    /// The union of both lists, bounded.
    std::vector<Entry> (*m_merge)(std::vector<Entry> one,
                                  const std::vector<Entry> &other) = nullptr;
    /// Whether @p known contains everything that @p entries contain.
    bool (*m_coversAll)(const std::vector<Entry> &known,
                        const std::vector<Entry> &entries) = nullptr;
    /// The entries of @p known that contain more than those of @p removed. Null: none is removed.
    std::vector<Entry> (*m_subtract)(std::vector<Entry> known,
                                     const std::vector<Entry> &removed) = nullptr;
};

/// Used on the control thread only.
template<typename Entry>
class SharedRecord
{
public:
    using Loaded = std::function<void(const std::vector<Entry> &entries)>;

    /// @p thread must be stopped before this object is destroyed. @p loaded is called with the
    /// decoded content.
    SharedRecord(FiberThread &thread, KindStore &store, RecordFormat<Entry> format, Loaded loaded)
        : m_state(std::make_shared<State>(thread, store, std::move(format), std::move(loaded)))
    { }

    /// Starts to read the object, with retries until that succeeds. Does nothing after the first
    /// call. On the thread.
    void load()
    {
        if (!std::exchange(m_state->m_loadStarted, true))
            refresh();
    }

    /// Reads the object soon, at most once in RefreshPeriod. On the thread.
    void refresh()
    {
        m_state->m_loadStarted = true;
        m_state->m_outdated = true;
        if (std::exchange(m_state->m_loading, true))
            return;
        spawnFiber([state = m_state] {
            while (std::exchange(state->m_outdated, false)) {
                while (!state->tryLoad()) {
                    if (!sleepFor(state->m_thread.context(), RetryPeriod))
                        return;
                }
                if (!sleepFor(state->m_thread.context(), RefreshPeriod))
                    return;
            }
            state->m_loading = false;
        });
    }

    /// Merges @p entries into the stored object, with retries until that succeeds. On the thread.
    void save(const std::vector<Entry> &entries)
    {
        m_state->m_unwritten = m_state->m_format.m_merge(m_state->m_unwritten, entries);
        write();
    }

    /// Removes @p entries from the stored object, with retries until that succeeds. On the thread.
    void remove(const std::vector<Entry> &entries)
    {
        m_state->m_unwritten = m_state->m_format.m_subtract(m_state->m_unwritten, entries);
        m_state->m_removed = m_state->m_format.m_merge(m_state->m_removed, entries);
        write();
    }

private:
    /// Only the few VMs with pending calls retry while the store is unavailable.
    static constexpr Millis RetryPeriod{ 1'000 };
    /// Bounds the calls while engines crash.
    static constexpr Millis RefreshPeriod{ 500 };

    void write()
    {
        if (!m_state->hasChanges() || std::exchange(m_state->m_writing, true))
            return;
        spawnFiber([state = m_state] {
            while (!state->tryWrite() && sleepFor(state->m_thread.context(), RetryPeriod)) { }
            state->m_writing = false;
        });
    }

    struct State {
        State(FiberThread &thread, KindStore &store, RecordFormat<Entry> format, Loaded loaded)
            : m_thread(thread)
            , m_store(store)
            , m_format(std::move(format))
            , m_loaded(std::move(loaded))
        { }

        FiberThread &m_thread;
        KindStore &m_store;
        const RecordFormat<Entry> m_format;
        Loaded m_loaded;
        std::vector<Entry> m_unwritten; ///< Entries still to be written.
        std::vector<Entry> m_removed; ///< Entries still to be removed.
        bool m_loadStarted = false;
        bool m_outdated = false; ///< A read was asked for since the last one began.
        bool m_loading = false;
        bool m_writing = false;

        bool hasChanges() const { return !m_unwritten.empty() || !m_removed.empty(); }
        Result<KindObject> read();
        bool tryLoad();
        bool tryWrite();
        void log(const char *event, size_t entries);
    };

    std::shared_ptr<State> m_state;
};

/// The stored object; one with an unknown position if it does not exist yet.
template<typename Entry>
Result<KindObject> SharedRecord<Entry>::State::read()
{
    auto object = m_store.get(m_format.m_kind, m_format.m_name);
    if (!object && object.error().m_code == ErrorCode::NotFound)
        return KindObject{ m_format.m_name, {}, m_format.m_encode({}, {}) };
    return object;
}

template<typename Entry>
void SharedRecord<Entry>::State::log(const char *event, size_t entries)
{
    DecisionLine("store", m_format.m_subject + " " + event)
        .number("requests", static_cast<int64_t>(entries))
        .write();
}

template<typename Entry>
bool SharedRecord<Entry>::State::tryLoad()
{
    const auto object = read();
    if (!object)
        return false;
    const auto entries = m_format.m_decode(object->m_spec, std::chrono::system_clock::now());
    if (!entries) {
        DecisionLine("store", m_format.m_subject + " not understood")
            .text("error", entries.error().m_message)
            .write();
        return true;
    }
    if (!entries->empty())
        log("read", entries->size());
    m_loaded(*entries);
    return true;
}

template<typename Entry>
bool SharedRecord<Entry>::State::tryWrite()
{
    const auto object = read();
    if (!object)
        return false;
    const WallTime now = std::chrono::system_clock::now();
    // Content that cannot be decoded is overwritten.
    const auto known = m_format.m_decode(object->m_spec, now).value_or(std::vector<Entry>{});
    const std::vector<Entry> unwritten = m_unwritten;
    const std::vector<Entry> removed = m_removed;
    const auto kept = removed.empty() ? known : m_format.m_subtract(known, removed);
    if (kept.size() < known.size() || !m_format.m_coversAll(known, unwritten)) {
        const KindObject next{ m_format.m_name, object->m_position,
                               m_format.m_encode(m_format.m_merge(kept, unwritten), now) };
        const Status written = next.m_position.known() ? m_store.replace(m_format.m_kind, next)
                                                       : m_store.create(m_format.m_kind, next);
        if (!written)
            return false;
        log("written", unwritten.size());
    }
    // There may be more changes since the write began.
    const auto isDone = [this](const std::vector<Entry> &written) {
        return [this, &written](const Entry &entry) {
            return m_format.m_coversAll(written, { entry });
        };
    };
    std::erase_if(m_unwritten, isDone(unwritten));
    std::erase_if(m_removed, isDone(removed));
    return !hasChanges();
}

} // namespace stackquay
