#include "store/intent_head.h"

#include <algorithm>

#include "core/json_fields.h"

namespace stackquay {

namespace {

// Twice the retention, to allow for clock skew between nodes.
constexpr auto RetentionWithMargin = 2 * IntentChangeRetention;
// Kept regardless of age, so that one clock far in the future does not empty the list.
constexpr ptrdiff_t MinKeptChanges = 32;

int64_t toMillis(WallTime time)
{
    return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

Json toJson(const IntentChange &change)
{
    return { { "id", change.m_id.str() },       { "revision", change.m_revision },
             { "operator", change.m_operator }, { "statement", change.m_statement },
             { "snapshot", change.m_snapshot }, { "at", toMillis(change.m_at) } };
}

Result<IntentChange> toChange(const Json &json)
{
    const auto id = stringField(json, "id");
    const auto revision = uintField(json, "revision");
    const auto at = intField(json, "at");
    if (!id || !revision || !at)
        return makeError(ErrorCode::ProtocolError, "intent head: malformed change");
    IntentChange change;
    change.m_id = ChangeId(*id);
    change.m_revision = *revision;
    change.m_operator = stringField(json, "operator").value_or("");
    change.m_statement = stringField(json, "statement").value_or("");
    change.m_snapshot = stringField(json, "snapshot").value_or("");
    change.m_at = WallTime(Millis(*at));
    return change;
}

} // namespace

std::string formatIntentHead(const IntentHead &head)
{
    Json changes = Json::array();
    for (const IntentChange &change : head.m_changes)
        changes.push_back(toJson(change));
    const Json json = { { "revision", head.m_revision },
                        { "snapshot", head.m_snapshot },
                        { "changes", std::move(changes) } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<IntentHead> parseIntentHead(const VersionedObject &object)
{
    const auto json = parseJsonObject(object.m_value);
    if (!json)
        return makeError(ErrorCode::ProtocolError, "intent head: " + json.error().m_message);
    const auto revision = uintField(*json, "revision");
    const auto snapshot = stringField(*json, "snapshot");
    if (!revision || !snapshot)
        return makeError(ErrorCode::ProtocolError, "intent head: no revision or snapshot");
    IntentHead head{ *revision, *snapshot, {}, object.m_version };
    for (const Json &item : arrayField(*json, "changes")) {
        auto change = toChange(item);
        if (!change)
            return tl::unexpected(change.error());
        head.m_changes.push_back(std::move(*change));
    }
    return head;
}

const IntentChange *findChange(const IntentHead &head, const ChangeId &id)
{
    const auto found =
        std::find_if(head.m_changes.begin(), head.m_changes.end(),
                     [&id](const IntentChange &change) { return change.m_id == id; });
    return found == head.m_changes.end() ? nullptr : &*found;
}

bool listsChangesAfter(const IntentHead &head, uint64_t revision)
{
    if (revision >= head.m_revision)
        return true;
    return !head.m_changes.empty() && head.m_changes.front().m_revision <= revision + 1;
}

std::vector<IntentChange> appendChange(IntentHead &head, IntentChange change)
{
    if (!head.m_changes.empty())
        change.m_at = std::max(change.m_at, head.m_changes.back().m_at);
    change.m_revision = head.m_revision + 1;
    head.m_revision = change.m_revision;
    head.m_snapshot = change.m_snapshot;
    const WallTime oldest = change.m_at - RetentionWithMargin;
    head.m_changes.push_back(std::move(change));
    auto firstKept = head.m_changes.begin();
    while (head.m_changes.end() - firstKept > MinKeptChanges && firstKept->m_at < oldest)
        ++firstKept;
    std::vector<IntentChange> dropped(std::make_move_iterator(head.m_changes.begin()),
                                      std::make_move_iterator(firstKept));
    head.m_changes.erase(head.m_changes.begin(), firstKept);
    return dropped;
}

} // namespace stackquay
