#include "store/store_client.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "core/json_fields.h"
#include "store/store_channel.h"

namespace stackquay {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusTooLarge = 413;

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Keys are paths: their slashes separate segments.
std::string objectTarget(const std::string &key)
{
    std::vector<std::string> segments{ "objects" };
    size_t start = 0;
    while (start <= key.size()) {
        const size_t end = std::min(key.find('/', start), key.size());
        segments.push_back(key.substr(start, end - start));
        start = end + 1;
    }
    return writeTarget(segments);
}

HttpHeaders conditionHeader(std::optional<ObjectVersion> condition)
{
    if (!condition)
        return {};
    return { { "If-Version", std::to_string(*condition) } };
}

/// The error for a response whose status is not 200.
Error statusError(const HttpResponse &response, std::string_view what)
{
    switch (response.m_status) {
    case StatusNotFound:
        return { ErrorCode::NotFound, fmt::format("{}: no such object", what) };
    case StatusConflict:
        return { ErrorCode::Conflict, fmt::format("{}: the object has another version", what) };
    case StatusGone:
        return { ErrorCode::NotFound, fmt::format("{}: the sequence is too old", what) };
    case StatusTooLarge:
        return { ErrorCode::InvalidArgument, fmt::format("{}: the value is too large", what) };
    default:
        return { ErrorCode::ProtocolError, fmt::format("{}: status {}", what, response.m_status) };
    }
}

Result<Json> parseResponse(const Result<HttpResponse> &response, std::string_view what)
{
    if (!response)
        return tl::unexpected(response.error());
    if (response->m_status != StatusOk)
        return tl::unexpected(statusError(*response, what));
    return parseJsonObject(response->m_body);
}

ObjectList toList(const Json &json)
{
    ObjectList list;
    list.m_sequence = uintField(json, "sequence").value_or(0);
    for (const Json &object : arrayField(json, "objects"))
        list.m_objects.push_back(
            { stringField(object, "key").value_or(""), uintField(object, "version").value_or(0) });
    return list;
}

ObjectEvents toEvents(const Json &json, uint64_t from)
{
    ObjectEvents events;
    events.m_sequence = uintField(json, "sequence").value_or(from);
    for (const Json &event : arrayField(json, "events"))
        events.m_events.push_back({ stringField(event, "key").value_or(""),
                                    uintField(event, "version").value_or(0),
                                    boolField(event, "deleted") });
    return events;
}

VmList toVms(const Json &json)
{
    VmList list;
    list.m_age = Millis(uintField(json, "age_ms").value_or(0));
    for (const Json &item : arrayField(json, "vms")) {
        ListedVm vm;
        vm.m_id = VmId(stringField(item, "id").value_or(""));
        vm.m_dataCentre = DataCentreId(stringField(item, "data_centre").value_or(""));
        vm.m_udp = stringField(item, "udp").value_or("");
        vm.m_peer = stringField(item, "peer").value_or("");
        vm.m_http = stringField(item, "http").value_or("");
        vm.m_leaving = stringField(item, "state").value_or("") == "leaving";
        list.m_vms.push_back(std::move(vm));
    }
    return list;
}

Result<HttpResponse> sendCall(StoreChannel &channel, StoreCount kind, HttpRequest request)
{
    const StoreSettings &settings = channel.settings();
    auto response =
        channel.call({ kind, std::move(request), settings.m_tryTimeout, settings.m_callTimeout });
    if (response && response->m_status == StatusConflict)
        channel.count(StoreCount::Conflicts);
    return response;
}

} // namespace

StoreClient::StoreClient(boost::asio::io_context &context, StoreSettings settings,
                         RandomEngine random)
    : m_channel(std::make_shared<StoreChannel>(context, std::move(settings), random))
{ }

StoreClient::~StoreClient()
{
    m_channel->close();
}

Result<VersionedObject> StoreClient::get(const std::string &key)
{
    auto response = sendCall(*m_channel, StoreCount::Gets, { "GET", objectTarget(key), {}, "" });
    if (!response)
        return tl::unexpected(response.error());
    if (response->m_status != StatusOk)
        return tl::unexpected(statusError(*response, "get " + key));
    const auto version = parseNumber(findHeader(response->m_headers, "Object-Version"));
    if (!version || *version == NoObject)
        return makeError(ErrorCode::ProtocolError,
                         "get " + key + ": the response contains no version");
    return VersionedObject{ key, std::move(response->m_body), *version };
}

Result<ObjectVersion> StoreClient::put(const std::string &key, const std::string &value,
                                       std::optional<ObjectVersion> condition)
{
    if (value.size() > ObjectValueLimit)
        return makeError(ErrorCode::InvalidArgument, "put " + key + ": the value is too large");
    const auto response = sendCall(*m_channel, StoreCount::Puts,
                                   { "PUT", objectTarget(key), conditionHeader(condition), value });
    const auto json = parseResponse(response, "put " + key);
    if (json) {
        const auto version = uintField(*json, "version");
        if (version && *version != NoObject)
            return *version;
    } else if (!response || response->m_status != StatusOk) {
        return tl::unexpected(json.error());
    }
    return makeError(ErrorCode::OutcomeUnknown, "put " + key + ": malformed response");
}

Status StoreClient::remove(const std::string &key, std::optional<ObjectVersion> condition)
{
    const auto response = sendCall(*m_channel, StoreCount::Removes,
                                   { "DELETE", objectTarget(key), conditionHeader(condition), "" });
    if (!response)
        return tl::unexpected(response.error());
    if (response->m_status != StatusOk)
        return tl::unexpected(statusError(*response, "remove " + key));
    return {};
}

Result<ObjectList> StoreClient::list(const std::string &prefix)
{
    const auto response =
        sendCall(*m_channel, StoreCount::Lists,
                 { "GET", writeTarget({ "list" }, { { "prefix", prefix } }), {}, "" });
    return parseResponse(response, "list " + prefix).map(toList);
}

Result<ObjectEvents> StoreClient::watch(const std::string &prefix, uint64_t from, Duration timeout)
{
    const auto millis = std::chrono::ceil<Millis>(timeout).count();
    HttpRequest request;
    request.m_target = writeTarget({ "watch" }, { { "prefix", prefix },
                                                  { "from", std::to_string(from) },
                                                  { "timeout_ms", std::to_string(millis) } });
    const StoreSettings &settings = m_channel->settings();
    const auto response =
        m_channel->call({ StoreCount::Watches, std::move(request), settings.m_tryTimeout + timeout,
                          settings.m_callTimeout + timeout });
    return parseResponse(response, "watch " + prefix).map([from](const Json &json) {
        return toEvents(json, from);
    });
}

Result<VmList> StoreClient::vms()
{
    const auto response = sendCall(*m_channel, StoreCount::VmLists, { "GET", "/vms", {}, "" });
    return parseResponse(response, "vms").map(toVms);
}

bool StoreClient::outage() const
{
    return m_channel->outage();
}

StoreCounters StoreClient::counters() const
{
    return m_channel->counters();
}

} // namespace stackquay
