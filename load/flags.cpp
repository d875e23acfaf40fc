#include "load/flags.h"

#include <charconv>

#include <fmt/format.h>
#include <getopt.h>

namespace stackquay {

namespace {

using Apply = Status (*)(LoadCommand &, std::string_view);

struct Flag {
    const char *m_name;
    const char *m_argument; ///< Null: the flag takes none.
    const char *m_help;
    Apply m_apply;
};

template<typename T>
Status assign(Result<T> parsed, T &value)
{
    if (!parsed)
        return tl::unexpected(parsed.error());
    value = std::move(*parsed);
    return {};
}

template<typename T>
Status parseWithin(std::string_view text, T low, T high, T &value)
{
    T parsed{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), parsed);
    if (error != std::errc() || end != text.data() + text.size() || parsed < low || parsed > high)
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("\"{}\" is not a number from {} to {}", text, low, high));
    value = parsed;
    return {};
}

Status parseShare(std::string_view text, double &value)
{
    return parseWithin(text, 0.0, 1.0, value);
}

Status parseSeconds(std::string_view text, Duration &value)
{
    constexpr double MostSeconds = 86'400;
    double seconds = 0;
    const Status status = parseWithin(text, 0.0, MostSeconds, seconds);
    if (status)
        value = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return status;
}

Status parseMillis(std::string_view text, Duration &value)
{
    constexpr int64_t MostMillis = 86'400'000;
    int64_t millis = 0;
    const Status status = parseWithin<int64_t>(text, 0, MostMillis, millis);
    if (status)
        value = Millis(millis);
    return status;
}

constexpr size_t MostLoops = 100'000;
constexpr uint32_t MostTokens = 4'000'000;
constexpr uint32_t MostPrefixes = 1'000'000;
constexpr double MostRate = 1e6;

using Text = std::string_view;

const Flag Flags[] = {
    { "targets", "ADDRESS,...", "daemons, or engines with --direct, used in turn",
      [](LoadCommand &c, Text t) { return assign(parseTargets(t), c.m_options.m_targets); } },
    { "direct", nullptr, "speak the engine protocol to the targets",
      [](LoadCommand &c, Text) -> Status { return c.m_options.m_direct = true, Status(); } },
    { "model", "NAME", "model to ask (hint-forge)",
      [](LoadCommand &c, Text t) -> Status { return c.m_options.m_model = t, Status(); } },
    { "model-version", "NAME", "model version, with --direct",
      [](LoadCommand &c, Text t) -> Status { return c.m_options.m_version = t, Status(); } },
    { "seed", "N", "seed of arrivals and prompts (1)",
      [](LoadCommand &c, Text t) {
          return parseWithin<uint64_t>(t, 0, UINT64_MAX, c.m_options.m_seed);
      } },
    { "threads", "N", "sending threads (2)",
      [](LoadCommand &c, Text t) { return parseWithin<size_t>(t, 1, 64, c.m_options.m_threads); } },
    { "rate", "R", "requests a second (10)",
      [](LoadCommand &c, Text t) {
          return parseWithin(t, 0.0, MostRate, c.m_options.m_phases[0].m_rate);
      } },
    { "duration", "SECONDS", "time of arrivals (10)",
      [](LoadCommand &c, Text t) { return parseSeconds(t, c.m_options.m_phases[0].m_length); } },
    { "phases", "SECONDS:RATE,...", "several rates one after another, instead of the two above",
      [](LoadCommand &c, Text t) { return assign(parsePhases(t), c.m_options.m_phases); } },
    { "closed", "N", "N loops that send back to back, instead of Poisson arrivals",
      [](LoadCommand &c, Text t) {
          return parseWithin<size_t>(t, 1, MostLoops, c.m_options.m_closedLoops);
      } },
    { "open-limit", "N", "requests open at once; arrivals above it are not sent (20000)",
      [](LoadCommand &c, Text t) {
          return parseWithin<size_t>(t, 1, MostLoops, c.m_options.m_openLimit);
      } },
    { "drain-timeout", "SECONDS", "wait for the last answers at most (30)",
      [](LoadCommand &c, Text t) { return parseSeconds(t, c.m_options.m_drainTimeout); } },
    { "request-timeout", "SECONDS", "longest wait for the next bytes of an answer (600)",
      [](LoadCommand &c, Text t) { return parseSeconds(t, c.m_options.m_requestTimeout); } },
    { "lengths", "LOW-HIGH=WEIGHT,...",
      "prompt tokens, log-uniform (1000-100000=0.98,"
      "100000-1000000=0.02)",
      [](LoadCommand &c, Text t) { return assign(parseLengths(t), c.m_options.m_lengths); } },
    { "outputs", "LOW-HIGH=WEIGHT,...", "tokens to generate (16-256)",
      [](LoadCommand &c, Text t) { return assign(parseLengths(t), c.m_options.m_outputs); } },
    { "skip-above", "TOKENS", "plan longer prompts, but do not send them",
      [](LoadCommand &c, Text t) {
          return parseWithin<uint32_t>(t, 0, MostTokens, c.m_options.m_skipAbove);
      } },
    { "customers", "KEY=WEIGHT,...", "bearer keys and their shares of the arrivals",
      [](LoadCommand &c, Text t) { return assign(parseCustomers(t), c.m_options.m_customers); } },
    { "priorities", "WEIGHT,...", "shares of priority 0, 1, ...",
      [](LoadCommand &c, Text t) {
          return assign(parseWeights(t), c.m_options.m_priorityWeights);
      } },
    { "service", "NAME", "plain service for --service-share",
      [](LoadCommand &c, Text t) -> Status { return c.m_options.m_service = t, Status(); } },
    { "service-share", "SHARE", "requests that are non-repeatable service calls (0)",
      [](LoadCommand &c, Text t) { return parseShare(t, c.m_options.m_serviceShare); } },
    { "service-repeats", "SHARE", "service calls that repeat an earlier idempotency key (0)",
      [](LoadCommand &c, Text t) { return parseShare(t, c.m_options.m_serviceRepeatShare); } },
    { "prefix-share", "SHARE", "prompts that start with a shared prefix (0)",
      [](LoadCommand &c, Text t) { return parseShare(t, c.m_options.m_prefixShare); } },
    { "prefix-tokens", "N", "length of the shared prefixes (2048)",
      [](LoadCommand &c, Text t) {
          return parseWithin<uint32_t>(t, 1, MostTokens, c.m_options.m_prefixTokens);
      } },
    { "prefix-pool", "N", "number of shared prefixes (16)",
      [](LoadCommand &c, Text t) {
          return parseWithin<uint32_t>(t, 1, MostPrefixes, c.m_options.m_prefixPool);
      } },
    { "repeat-share", "SHARE", "prompts asked before; their answers are compared (0)",
      [](LoadCommand &c, Text t) { return parseShare(t, c.m_options.m_repeatShare); } },
    { "deadline", "MILLISECONDS", "sent as Stackquay-Deadline",
      [](LoadCommand &c, Text t) { return parseMillis(t, c.m_options.m_deadline); } },
    { "csv", "FILE", "a line for each request; - is standard output",
      [](LoadCommand &c, Text t) -> Status { return c.m_csvFile = t, Status(); } },
    { "json", "FILE", "the summary as JSON",
      [](LoadCommand &c, Text t) -> Status { return c.m_jsonFile = t, Status(); } },
    { "flat", "FILE", "the summary with one value a line, such as \"/all/ttft_ms/p50\": 1.5",
      [](LoadCommand &c, Text t) -> Status { return c.m_flatFile = t, Status(); } },
    { "help", nullptr, "print this text",
      [](LoadCommand &c, Text) -> Status { return c.m_help = true, Status(); } },
};

std::vector<option> longOptions()
{
    std::vector<option> options;
    for (const Flag &flag : Flags)
        options.push_back(
            { flag.m_name, flag.m_argument ? required_argument : no_argument, nullptr, 0 });
    options.push_back({});
    return options;
}

} // namespace

Result<LoadCommand> parseLoadFlags(int argc, char **argv)
{
    const std::vector<option> options = longOptions();
    LoadCommand command;
    std::string problems;
    optind = 1;
    int index = 0;
    while (true) {
        const int found = getopt_long(argc, argv, "", options.data(), &index);
        if (found == -1)
            break;
        if (found != 0) {
            problems += "unknown flag or missing value; ";
            continue;
        }
        const Flag &flag = Flags[index];
        const Status status = flag.m_apply(command, optarg ? optarg : "");
        if (!status)
            problems += fmt::format("--{}: {}; ", flag.m_name, status.error().m_message);
    }
    if (optind < argc)
        problems += fmt::format("unexpected \"{}\"; ", argv[optind]);
    if (problems.empty() && !command.m_help) {
        if (const Status checked = checkOptions(command.m_options); !checked)
            problems += checked.error().m_message + "; ";
    }
    if (problems.empty())
        return command;
    problems.resize(problems.size() - 2);
    return makeError(ErrorCode::InvalidArgument, problems);
}

std::string loadUsage()
{
    std::string usage = "stackquay-load --targets ADDRESS,... [flags]\n"
                        "Sends a planned load, checks every answer and prints a table.\n\n";
    for (const Flag &flag : Flags) {
        const std::string name =
            fmt::format("--{} {}", flag.m_name, flag.m_argument ? flag.m_argument : "");
        usage += fmt::format("  {:<34} {}\n", name, flag.m_help);
    }
    return usage;
}

} // namespace stackquay
