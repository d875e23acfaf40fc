/// An object store in memory, with a fault chosen for each call.
#pragma once

#include <deque>
#include <functional>
#include <future>
#include <map>

#include <boost/fiber/operations.hpp>

#include "net/net.h"
#include "store/store.h"

namespace stackquay {

enum class FakeFault {
    None,
    Refused, ///< Not applied; fails with Unavailable.
    LostBefore, ///< Not applied; the response is lost.
    LostAfter, ///< Applied; the response is lost.
    Delayed, ///< The response is lost; applied by releaseDelayed().
};

class FakeObjects : public ObjectApi
{
public:
    using FaultFunction = std::function<FakeFault(bool write, const std::string &key)>;

    FaultFunction m_faults;
    /// Runs before each call and after each write, so that a test can let other fibers run.
    std::function<void()> m_pause;
    uint64_t m_writes = 0; ///< Calls of put() and remove(), including failed ones.
    uint64_t m_reads = 0;

    Result<VersionedObject> get(const std::string &key) override
    {
        const FakeFault fault = begin(false, key);
        if (fault != FakeFault::None)
            return makeError(ErrorCode::Unavailable, "fake");
        const auto found = m_objects.find(key);
        if (found == m_objects.end())
            return makeError(ErrorCode::NotFound, key);
        return found->second;
    }

    Result<ObjectVersion> put(const std::string &key, const std::string &value,
                              std::optional<ObjectVersion> condition) override
    {
        return write(key, [=, this] { return apply(key, value, condition); });
    }

    Status remove(const std::string &key, std::optional<ObjectVersion> condition) override
    {
        const auto removed = write(key, [=, this]() -> Result<ObjectVersion> {
            const ObjectVersion current = versionOf(key);
            if (current == NoObject)
                return makeError(ErrorCode::NotFound, key);
            if (condition && *condition != current)
                return makeError(ErrorCode::Conflict, key);
            m_objects.erase(key);
            addEvent(key, current, true);
            return current;
        });
        if (!removed)
            return tl::unexpected(removed.error());
        return {};
    }

    Result<ObjectList> list(const std::string &prefix) override
    {
        if (begin(false, prefix) != FakeFault::None)
            return makeError(ErrorCode::Unavailable, "fake");
        ObjectList list;
        list.m_sequence = m_events.size();
        for (const auto &[key, object] : m_objects)
            if (key.starts_with(prefix))
                list.m_objects.push_back({ key, object.m_version });
        return list;
    }

    /// Returns at once, even without events.
    Result<ObjectEvents> watch(const std::string &prefix, uint64_t from, Duration) override
    {
        if (begin(false, prefix) != FakeFault::None)
            return makeError(ErrorCode::Unavailable, "fake");
        ObjectEvents events;
        events.m_sequence = m_events.size();
        for (size_t i = from; i < m_events.size(); ++i)
            if (m_events[i].m_key.starts_with(prefix))
                events.m_events.push_back(m_events[i]);
        return events;
    }

    /// Applies the oldest delayed write, if its condition still holds.
    void releaseDelayed()
    {
        if (m_delayed.empty())
            return;
        const auto apply = std::move(m_delayed.front());
        m_delayed.pop_front();
        (void)apply();
    }

    /// The number of objects whose keys start with @p prefix.
    size_t count(const std::string &prefix) const
    {
        size_t found = 0;
        for (const auto &[key, object] : m_objects)
            found += key.starts_with(prefix);
        return found;
    }

private:
    using Apply = std::function<Result<ObjectVersion>()>;

    FakeFault begin(bool write, const std::string &key)
    {
        if (m_pause)
            m_pause();
        ++(write ? m_writes : m_reads);
        return m_faults ? m_faults(write, key) : FakeFault::None;
    }

    Result<ObjectVersion> write(const std::string &key, const Apply &apply)
    {
        const auto lost = makeError(ErrorCode::OutcomeUnknown, "fake: response lost");
        switch (begin(true, key)) {
        case FakeFault::None:
            break;
        case FakeFault::Refused:
            return makeError(ErrorCode::Unavailable, "fake");
        case FakeFault::LostBefore:
            return lost;
        case FakeFault::LostAfter:
            (void)apply();
            return lost;
        case FakeFault::Delayed:
            m_delayed.push_back(apply);
            return lost;
        }
        auto result = apply();
        if (m_pause)
            m_pause();
        return result;
    }

    Result<ObjectVersion> apply(const std::string &key, const std::string &value,
                                std::optional<ObjectVersion> condition)
    {
        const ObjectVersion current = versionOf(key);
        if (condition && *condition != current)
            return makeError(ErrorCode::Conflict, key);
        m_objects[key] = { key, value, current + 1 };
        addEvent(key, current + 1, false);
        return current + 1;
    }

    ObjectVersion versionOf(const std::string &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? NoObject : found->second.m_version;
    }

    void addEvent(const std::string &key, ObjectVersion version, bool deleted)
    {
        m_events.push_back({ key, version, deleted });
    }

    std::map<std::string, VersionedObject> m_objects;
    std::vector<ObjectEvent> m_events;
    std::deque<Apply> m_delayed;
};

/// Runs @p function in a fiber of @p thread and waits until it returns.
inline void runOn(FiberThread &thread, const std::function<void()> &function)
{
    std::promise<void> done;
    thread.post([&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace stackquay
