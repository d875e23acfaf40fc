#include "tests/soak/traffic.h"

#include <cstdio>
#include <thread>

#include <fmt/format.h>

namespace stackquay::soak {

namespace {

constexpr Millis ReadyPeriod{ 1'000 };
constexpr unsigned MostMissed = 2;
constexpr unsigned StatusOk = 200;
constexpr Millis ConnectPatience{ 1'000 };
constexpr Millis AnswerPatience{ 500 }; ///< Beyond the deadline that the daemon is told.
/// Four fifths of the configuration's `idleTimeoutMs` are allowed.
constexpr Millis LongestIdle{ 3'900 };
constexpr Millis ReopenPause{ 400 };
constexpr Millis FreshPause{ 1'800 };
constexpr Millis HurriedPause{ 150 };
constexpr Millis EngineStep{ 20 }; ///< As the configuration says of the service.
constexpr uint64_t LongPrompt = 250'000; ///< Of an engine's memory of 100,000.
constexpr uint64_t UsualPrompt = 2'000;

struct TrafficRow {
    Traffic m_traffic;
    const char *m_route;
    uint32_t m_weight;
};

constexpr TrafficRow Rows[] = {
    { Traffic::Safe, "safe", 20 },     { Traffic::Unsafe, "unsafe", 20 },
    { Traffic::Moving, "moving", 12 }, { Traffic::Stream, "stream", 25 },
    { Traffic::Once, "once", 20 },     { Traffic::Long, "long", 3 },
};

uint64_t drawUpTo(RandomEngine &random, uint64_t most)
{
    return random() % (most + 1);
}

const TrafficRow &drawRow(RandomEngine &random, bool longs)
{
    constexpr uint64_t Whole = 100;
    uint64_t left = drawUpTo(random, Whole - 1);
    for (const TrafficRow &row : Rows) {
        if (left < row.m_weight)
            return row.m_traffic == Traffic::Long && !longs ? Rows[0] : row;
        left -= row.m_weight;
    }
    return Rows[0];
}

bool isStream(Traffic traffic)
{
    return traffic >= Traffic::Stream;
}

PathWork drawWork(RandomEngine &random, Traffic traffic)
{
    PathWork work;
    if (!isStream(traffic)) {
        work.m_delay = Millis(10 + drawUpTo(random, 500));
        return work;
    }
    work.m_events = static_cast<uint32_t>(20 + drawUpTo(random, 40));
    work.m_gap = Millis(50 + drawUpTo(random, 50));
    return work;
}

} // namespace

std::string workPath(const std::string &route, const PathWork &work)
{
    return fmt::format("/{}/{}/{}/{}", route, work.m_delay.count(), work.m_events,
                       work.m_gap.count());
}

PathWork workOf(std::string_view path)
{
    PathWork work;
    unsigned long delay = 0;
    unsigned long gap = 0;
    unsigned events = 0;
    const std::string text(path);
    if (std::sscanf(text.c_str(), "/%*[a-z]/%lu/%u/%lu", &delay, &events, &gap) == 3)
        work = { Millis(delay), events, Millis(gap) };
    return work;
}

TrafficSource::TrafficSource(const Schedule &schedule, std::vector<ClientsDoor> doors)
    : m_schedule(schedule)
    , m_doors(std::move(doors))
{
    for (size_t i = 0; i < m_doors.size(); ++i)
        m_rotation.push_back(std::make_unique<Rotation>());
    m_thread.start();
}

TrafficSource::~TrafficSource()
{
    m_sending = false;
    m_thread.stop();
    m_thread.join();
}

void TrafficSource::watchReadiness()
{
    for (size_t i = 0; i < m_doors.size(); ++i)
        m_thread.post([this, i] { pollReadiness(i); });
}

void TrafficSource::pollReadiness(size_t vm)
{
    HttpPool pool(m_thread.context());
    Rotation &rotation = *m_rotation[vm];
    do {
        const auto answer =
            pool.call(m_doors[vm].m_ready, { "GET", "/ready", {}, "" }, { ReadyPeriod });
        rotation.m_missed = answer && answer->m_status == StatusOk ? 0 : rotation.m_missed + 1;
        if (rotation.m_missed == 0)
            rotation.m_ready = true;
        else if (rotation.m_missed >= MostMissed)
            rotation.m_ready = false;
    } while (sleepFor(m_thread.context(), ReadyPeriod));
}

bool TrafficSource::allReady() const
{
    return std::all_of(m_rotation.begin(), m_rotation.end(),
                       [](const auto &rotation) { return rotation->m_ready.load(); });
}

void TrafficSource::start(TimePoint start)
{
    m_start = start;
    m_sending = true;
    uint64_t seed = m_schedule.m_seed;
    for (size_t vm = 0; vm < m_doors.size(); ++vm) {
        for (size_t i = 0; i < m_schedule.m_keepers; ++i) {
            m_thread.post([this, vm, random = RandomEngine(++seed)] { keepUsing(vm, random); });
        }
    }
    for (size_t i = 0; i < m_schedule.m_keepers / 2; ++i)
        m_thread.post([this, random = RandomEngine(++seed)] { openForEach(random); });
    for (size_t vm = 0; vm < m_doors.size(); ++vm) {
        for (size_t i = 0; i < m_schedule.m_hurried; ++i)
            m_thread.post([this, vm, random = RandomEngine(++seed)] { hurry(vm, random); });
    }
}

bool TrafficSource::pause(RandomEngine &random, Millis most, Millis least)
{
    const Millis drawn(drawUpTo(random, static_cast<uint64_t>((most - least).count())));
    return sleepFor(m_thread.context(), least + drawn) && m_sending;
}

void TrafficSource::keepUsing(size_t vm, RandomEngine random)
{
    // Half of them come back late, also to a VM that was told to stop long before.
    const Millis least = drawUpTo(random, 1) == 0 ? LongestIdle / 2 : Millis(0);
    while (pause(random, ReopenPause)) {
        if (!m_rotation[vm]->m_ready)
            continue;
        HttpConnection connection(m_thread.context());
        if (!connection.connect(m_doors[vm].m_front, ConnectPatience))
            continue;
        while (pause(random, LongestIdle, least) && exchange(connection, draw(vm, random))) { }
    }
}

void TrafficSource::openForEach(RandomEngine random)
{
    while (pause(random, FreshPause)) {
        const size_t vm = drawUpTo(random, m_doors.size() - 1);
        if (!m_rotation[vm]->m_ready)
            continue;
        HttpConnection connection(m_thread.context());
        if (connection.connect(m_doors[vm].m_front, ConnectPatience))
            exchange(connection, draw(vm, random));
    }
}

/// Does not wait for a VM to be ready: connections are used until its process is gone.
void TrafficSource::hurry(size_t vm, RandomEngine random)
{
    while (pause(random, ReopenPause)) {
        HttpConnection connection(m_thread.context());
        if (!connection.connect(m_doors[vm].m_front, ConnectPatience))
            continue;
        while (pause(random, HurriedPause) && exchange(connection, drawShort(vm, random))) { }
    }
}

SentRequest TrafficSource::draw(size_t vm, RandomEngine &random)
{
    constexpr uint64_t SoleOneIn = 3; ///< Not drawn, so that a seed's other traffic stays.
    constexpr Millis PlainDeadline{ 4'000 };
    constexpr Millis StreamDeadline{ 20'000 };
    SentRequest request;
    const TrafficRow &row = drawRow(random, m_longs);
    const PathWork work = drawWork(random, row.m_traffic);
    const uint64_t id = ++m_nextId;
    const bool toSole = row.m_traffic == Traffic::Stream && id % SoleOneIn == 0;
    request.m_id = fmt::format("s{}-{}", m_schedule.m_seed, id);
    request.m_traffic = row.m_traffic;
    request.m_vm = vm;
    request.m_path = workPath(toSole ? SoleRoute : row.m_route, work);
    request.m_body = "entry " + request.m_id;
    request.m_events = work.m_events;
    request.m_deadline = isStream(row.m_traffic) ? StreamDeadline : PlainDeadline;
    drawKey(request, random);
    return request;
}

SentRequest TrafficSource::drawShort(size_t vm, RandomEngine &random)
{
    constexpr uint64_t SafeOneIn = 4;
    constexpr Millis ShortDeadline{ 1'500 };
    SentRequest request;
    const bool safe = drawUpTo(random, SafeOneIn - 1) == 0;
    PathWork work;
    work.m_delay = Millis(1 + drawUpTo(random, 40));
    request.m_id = fmt::format("s{}-{}", m_schedule.m_seed, ++m_nextId);
    request.m_traffic = safe ? Traffic::Safe : Traffic::Unsafe;
    request.m_vm = vm;
    request.m_path = workPath(safe ? "safe" : "unsafe", work);
    request.m_body = "entry " + request.m_id;
    request.m_deadline = ShortDeadline;
    request.m_key = LastingKey;
    return request;
}

void TrafficSource::drawKey(SentRequest &request, RandomEngine &random)
{
    constexpr uint64_t NewestKeyOneIn = 4;
    constexpr uint64_t ReplacedKeyOneIn = 20;
    request.m_key = LastingKey;
    const std::lock_guard lock(m_mutex);
    if (drawUpTo(random, NewestKeyOneIn - 1) == 0)
        request.m_key = m_keys.m_newest;
    else if (drawUpTo(random, ReplacedKeyOneIn - 1) == 0 && !m_keys.m_replaced.empty())
        request.m_key = m_keys.m_replaced;
}

HttpRequest TrafficSource::messageOf(const SentRequest &request) const
{
    HttpRequest message;
    message.m_method = "POST";
    message.m_target = request.m_path;
    message.m_body = request.m_body;
    message.m_headers = { { "Host", "host.example" },
                          { "X-Request-Id", request.m_id },
                          { "X-Deadline-Ms", std::to_string(request.m_deadline.count()) },
                          { "Api-Key", request.m_key } };
    if (isStream(request.m_traffic)) {
        const PathWork work = workOf(request.m_path);
        const bool isLong = request.m_traffic == Traffic::Long;
        message.m_headers.push_back({ "X-Model", "m" });
        message.m_headers.push_back(
            { "X-Token-Counts", fmt::format("{},{}", isLong ? LongPrompt : UsualPrompt,
                                            work.m_events * work.m_gap / EngineStep) });
    }
    return message;
}

bool TrafficSource::exchange(HttpConnection &connection, SentRequest request)
{
    ++m_open;
    request.m_begun = now();
    if (connection.send(messageOf(request), request.m_deadline)) {
        request.m_sent = now();
        readAnswer(connection, request);
    }
    request.m_ended = now();
    request.m_gaveUp = !request.m_whole && timeLeft(request) <= Duration(0);
    const bool usable = request.m_whole && connection.reusable();
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(std::move(request));
    }
    --m_open;
    return usable;
}

void TrafficSource::readAnswer(HttpConnection &connection, SentRequest &request)
{
    const auto head = connection.readHeader(timeLeft(request));
    if (!head)
        return;
    request.m_status = head->m_status;
    request.m_answeredId = findHeader(head->m_headers, "X-Request-Id");
    request.m_seal = findHeader(head->m_headers, "X-Response-Seal");
    request.m_worker = findHeader(head->m_headers, "X-Worker");
    std::string piece;
    while (connection.readBody(piece, timeLeft(request))) {
        if (piece.empty()) {
            request.m_whole = true;
            return;
        }
        request.m_answer += piece;
    }
}

Duration TrafficSource::timeLeft(const SentRequest &request) const
{
    const Millis until = request.m_begun + request.m_deadline + AnswerPatience;
    return std::max<Duration>(m_start + until - Clock::now(), Duration(0));
}

Millis TrafficSource::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_start);
}

void TrafficSource::finish(Duration patience)
{
    constexpr Millis Poll{ 20 };
    const TimePoint until = Clock::now() + patience;
    // Requests of keepers that are open go on; m_sending only ends the loops around them.
    m_sending = false;
    while (m_open > 0 && Clock::now() < until)
        std::this_thread::sleep_for(Poll);
}

void TrafficSource::setKeys(KeyRing keys)
{
    const std::lock_guard lock(m_mutex);
    m_keys = std::move(keys);
}

std::vector<SentRequest> TrafficSource::takeRequests()
{
    const std::lock_guard lock(m_mutex);
    return std::move(m_requests);
}

size_t TrafficSource::sentCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests.size();
}

} // namespace stackquay::soak
