#include "store/lease.h"

#include <algorithm>

#include "core/json_fields.h"

namespace stackquay {

namespace {

bool isOwnRecord(const LeaseContext &lease)
{
    return lease.m_record && lease.m_record->m_acquisition == lease.m_acquisition
           && !lease.m_record->m_released;
}

/// When the lease can be acquired if the object does not change; TimePoint::max() before a read.
TimePoint availableAt(const LeaseContext &lease)
{
    if (!lease.m_versionSeenAt)
        return TimePoint::max();
    const bool free = lease.m_version == NoObject || isOwnRecord(lease)
                      || (lease.m_record && lease.m_record->m_released);
    if (free)
        return *lease.m_versionSeenAt;
    const auto &record = lease.m_record;
    return *lease.m_versionSeenAt + (record ? record->m_duration : lease.m_settings.m_duration);
}

void scheduleRequest(LeaseContext &lease, LeaseRequest request, Duration delay = {})
{
    lease.m_request = request;
    lease.m_requestAt = std::max(lease.m_now + delay, lease.m_backoffUntil);
}

void setHeld(LeaseContext &lease, TimePoint sentAt)
{
    const LeaseSettings &settings = lease.m_settings;
    lease.m_fencing = lease.m_version;
    lease.m_heldUntil = sentAt + settings.m_duration - settings.m_margin;
    lease.m_renewAt = sentAt + settings.m_renewInterval;
}

void observeVersion(LeaseContext &lease, ObjectVersion version, std::optional<LeaseRecord> record)
{
    if (version != lease.m_version || !lease.m_versionSeenAt)
        lease.m_versionSeenAt = lease.m_now;
    lease.m_version = version;
    lease.m_record = std::move(record);
}

LeaseRecord ownRecord(const LeaseContext &lease)
{
    return { lease.m_settings.m_holder, lease.m_acquisition, lease.m_settings.m_duration,
             lease.m_release };
}

ChartBindings<LeaseContext, LeaseState, LeaseEvent> bindings()
{
    ChartBindings<LeaseContext, LeaseState, LeaseEvent> bindings;
    bindings
        .states({ { "standby", LeaseState::Standby },
                  { "acquiring", LeaseState::Acquiring },
                  { "reading_back", LeaseState::ReadingBack },
                  { "held", LeaseState::Held },
                  { "renewing", LeaseState::Renewing },
                  { "releasing", LeaseState::Releasing },
                  { "released", LeaseState::Released } })
        .events({ { "wanted", LeaseEvent::Wanted },
                  { "written", LeaseEvent::Written },
                  { "conflict", LeaseEvent::Conflict },
                  { "answer_lost", LeaseEvent::AnswerLost },
                  { "read_mine", LeaseEvent::ReadMine },
                  { "read_other", LeaseEvent::ReadOther },
                  { "read_unchanged", LeaseEvent::ReadUnchanged },
                  { "store_error", LeaseEvent::StoreError },
                  { "renew_due", LeaseEvent::RenewDue },
                  { "expired", LeaseEvent::Expired },
                  { "stopped", LeaseEvent::Stopped } })
        .guard("mayHold", [](const LeaseContext &lease) { return lease.m_now < lease.m_heldUntil; })
        .action("watchLease",
                [](LeaseContext &lease) { scheduleRequest(lease, LeaseRequest::Read); })
        .action("readLater",
                [](LeaseContext &lease) {
                    scheduleRequest(lease, LeaseRequest::Read, lease.m_settings.m_pollInterval);
                })
        .action("readLease",
                [](LeaseContext &lease) { scheduleRequest(lease, LeaseRequest::Read); })
        .action("writeLease",
                [](LeaseContext &lease) { scheduleRequest(lease, LeaseRequest::Write); })
        .action("writeRelease",
                [](LeaseContext &lease) {
                    lease.m_release = true;
                    scheduleRequest(lease, LeaseRequest::Write);
                })
        .action("waitToRenew",
                [](LeaseContext &lease) { scheduleRequest(lease, LeaseRequest::None); })
        .action("retryLater",
                [](LeaseContext &lease) {
                    scheduleRequest(lease, lease.m_request, lease.m_settings.m_retryDelay);
                })
        .action("holdOff",
                [](LeaseContext &lease) {
                    lease.m_backoffUntil = lease.m_now + lease.m_settings.m_retryDelay;
                })
        .action("dropLease", [](LeaseContext &lease) { lease.m_heldUntil = TimePoint{}; });
    return bindings;
}

} // namespace

std::string formatLeaseRecord(const LeaseRecord &record)
{
    const Json json = {
        { "holder", record.m_holder },
        { "acquisition", record.m_acquisition },
        { "duration_ms", std::chrono::duration_cast<Millis>(record.m_duration).count() },
        { "released", record.m_released },
    };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<LeaseRecord> parseLeaseRecord(const std::string &text)
{
    const auto json = parseJsonObject(text);
    if (!json)
        return tl::unexpected(json.error());
    const auto acquisition = stringField(*json, "acquisition");
    const auto duration = uintField(*json, "duration_ms");
    if (!acquisition || !duration)
        return makeError(ErrorCode::ProtocolError, "lease: no acquisition or duration");
    return LeaseRecord{ stringField(*json, "holder").value_or(""), *acquisition, Millis(*duration),
                        boolField(*json, "released") };
}

Result<LeaseChart> loadLeaseChart(const std::string &folder)
{
    return LeaseChart::load(folder + "/lease.scxml", bindings());
}

Lease::Lease(const LeaseChart &chart, LeaseSettings settings, std::string acquisition)
    : m_chart(chart)
    , m_instance(chart)
{
    m_context.m_settings = std::move(settings);
    m_context.m_acquisition = std::move(acquisition);
    m_instance.start(m_chart, m_context);
}

LeaseStep Lease::next(TimePoint now)
{
    m_context.m_now = now;
    dispatchTimeEvents();
    if (m_context.m_request == LeaseRequest::None || released())
        return { LeaseRequest::None, std::min(m_context.m_renewAt, m_context.m_heldUntil), {}, 0 };
    if (now < m_context.m_requestAt) {
        const TimePoint free =
            state() == LeaseState::Standby ? availableAt(m_context) : TimePoint::max();
        return { LeaseRequest::None, std::min(m_context.m_requestAt, free), {}, 0 };
    }
    if (m_context.m_request == LeaseRequest::Read)
        return { LeaseRequest::Read, now, {}, 0 };
    m_context.m_sentAt = now;
    return { LeaseRequest::Write, now, formatLeaseRecord(ownRecord(m_context)),
             m_context.m_version };
}

void Lease::dispatchTimeEvents()
{
    if (m_releaseRequested)
        dispatch(LeaseEvent::Stopped);
    m_releaseRequested = false;
    const bool holding = m_context.m_heldUntil != TimePoint{};
    if (holding && m_context.m_now >= m_context.m_heldUntil)
        dispatch(LeaseEvent::Expired);
    if (state() == LeaseState::Held && m_context.m_now >= m_context.m_renewAt)
        dispatch(LeaseEvent::RenewDue);
    const TimePoint wantedAt = std::max(availableAt(m_context), m_context.m_backoffUntil);
    if (state() == LeaseState::Standby && m_context.m_now >= wantedAt)
        dispatch(LeaseEvent::Wanted);
}

void Lease::onRead(TimePoint now, const Result<VersionedObject> &object)
{
    m_context.m_now = now;
    dispatch(applyRead(object));
}

LeaseEvent Lease::applyRead(const Result<VersionedObject> &object)
{
    const ObjectVersion replaced = m_context.m_version;
    if (!object && object.error().m_code != ErrorCode::NotFound)
        return LeaseEvent::StoreError;
    if (!object) {
        observeVersion(m_context, NoObject, std::nullopt);
    } else {
        auto record = parseLeaseRecord(object->m_value);
        observeVersion(m_context, object->m_version,
                       record ? std::optional(std::move(*record)) : std::nullopt);
    }
    if (m_context.m_version == replaced)
        return LeaseEvent::ReadUnchanged;
    const auto sentAt = std::exchange(m_context.m_unresolvedSince, std::nullopt);
    if (!isOwnRecord(m_context))
        return LeaseEvent::ReadOther;
    if (sentAt && state() == LeaseState::ReadingBack)
        setHeld(m_context, *sentAt);
    return LeaseEvent::ReadMine;
}

void Lease::onWritten(TimePoint now, const Result<ObjectVersion> &version)
{
    m_context.m_now = now;
    if (version) {
        observeVersion(m_context, *version, ownRecord(m_context));
        m_context.m_unresolvedSince.reset();
        if (state() != LeaseState::Releasing)
            setHeld(m_context, m_context.m_sentAt);
        dispatch(LeaseEvent::Written);
        return;
    }
    switch (version.error().m_code) {
    case ErrorCode::Conflict:
        dispatch(LeaseEvent::Conflict);
        return;
    case ErrorCode::OutcomeUnknown:
        if (!m_context.m_unresolvedSince)
            m_context.m_unresolvedSince = m_context.m_sentAt;
        dispatch(LeaseEvent::AnswerLost);
        return;
    default:
        dispatch(LeaseEvent::StoreError);
    }
}

void Lease::release()
{
    m_releaseRequested = true;
    m_context.m_heldUntil = TimePoint{};
}

std::optional<FencingNumber> Lease::fencingNumber(TimePoint now) const
{
    if (m_releaseRequested || now >= m_context.m_heldUntil)
        return std::nullopt;
    return m_context.m_fencing;
}

void Lease::dispatch(LeaseEvent event)
{
    m_instance.dispatch(m_chart, event, m_context);
}

} // namespace stackquay
