#include "standin/object_store.h"

#include <algorithm>

namespace stackquay::standin {

namespace {

bool validKeyCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
           || c == '_' || c == '-' || c == '/';
}

uint64_t presentVersion(const ObjectStore &store, const std::string &key)
{
    const auto found = store.m_objects.find(key);
    return found == store.m_objects.end() ? 0 : found->second.m_version;
}

void record(ObjectStore &store, const std::string &key, uint64_t version, bool deleted)
{
    store.m_changes.push_back({ ++store.m_sequence, key, version, deleted });
    while (store.m_changes.size() > store.m_changesKept)
        store.m_changes.pop_front();
}

} // namespace

bool validObjectKey(std::string_view key)
{
    if (key.empty() || key.front() == '/' || key.back() == '/')
        return false;
    if (key.find("//") != std::string_view::npos)
        return false;
    return std::all_of(key.begin(), key.end(), validKeyCharacter);
}

WriteOutcome putObject(ObjectStore &store, const std::string &key, std::string value,
                       std::optional<uint64_t> ifVersion)
{
    const uint64_t present = presentVersion(store, key);
    if (ifVersion && *ifVersion != present)
        return { false, present > 0, present };
    const uint64_t version = present + 1;
    store.m_objects[key] = { std::move(value), version };
    record(store, key, version, false);
    return { true, present > 0, version };
}

WriteOutcome deleteObject(ObjectStore &store, const std::string &key,
                          std::optional<uint64_t> ifVersion)
{
    const uint64_t present = presentVersion(store, key);
    if (present == 0)
        return { false, false, 0 };
    if (ifVersion && *ifVersion != present)
        return { false, true, present };
    store.m_objects.erase(key);
    record(store, key, present, true);
    return { true, true, present };
}

std::vector<ListedObject> listObjects(const ObjectStore &store, std::string_view prefix)
{
    std::vector<ListedObject> listed;
    for (auto it = store.m_objects.lower_bound(prefix); it != store.m_objects.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        listed.push_back({ it->first, it->second.m_version });
    }
    return listed;
}

bool hasChangesSince(const ObjectStore &store, uint64_t sequence)
{
    if (sequence > store.m_sequence)
        return false;
    return store.m_sequence - sequence <= store.m_changes.size();
}

std::vector<ObjectChange> changesSince(const ObjectStore &store, uint64_t sequence,
                                       std::string_view prefix)
{
    std::vector<ObjectChange> changes;
    for (const ObjectChange &change : store.m_changes) {
        if (change.m_sequence > sequence && change.m_key.starts_with(prefix))
            changes.push_back(change);
    }
    return changes;
}

void compactChanges(ObjectStore &store)
{
    store.m_changes.clear();
}

} // namespace stackquay::standin
