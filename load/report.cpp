#include "load/report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace stackquay {

namespace {

using Json = nlohmann::ordered_json;

double millis(Micros time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

bool any(const LoadRecord &)
{
    return true;
}

auto ofClass(LoadClass loadClass)
{
    return [loadClass](const LoadRecord &record) { return record.m_class == loadClass; };
}

size_t others(const GroupSummary &summary)
{
    return summary.m_count - summary.outcome(LoadOutcome::Complete)
           - summary.outcome(LoadOutcome::Refused);
}

std::string tableRow(std::string_view name, const GroupSummary &summary)
{
    const Percentiles &first = summary.m_firstToken;
    const Percentiles &gap = summary.m_meanGap;
    const Percentiles &total = summary.m_total;
    return fmt::format("{:<8} {:>7} {:>8} {:>7} {:>6} {:>9.1f} {:>9.1f} {:>9.1f} {:>8.2f} {:>8.2f} "
                       "{:>9.1f} {:>9.1f}\n",
                       name, summary.m_count, summary.outcome(LoadOutcome::Complete),
                       summary.outcome(LoadOutcome::Refused), others(summary), millis(first.m_p50),
                       millis(first.m_p95), millis(first.m_p99), millis(gap.m_p50),
                       millis(gap.m_p95), millis(total.m_p50), millis(total.m_p95));
}

std::string outcomeLine(const GroupSummary &all)
{
    std::string line = "outcomes:";
    for (size_t i = 0; i < LoadOutcomeCount; ++i) {
        if (all.m_outcomes[i] > 0)
            line += fmt::format(" {}={}", loadOutcomeName(static_cast<LoadOutcome>(i)),
                                all.m_outcomes[i]);
    }
    return line + "\n";
}

Json toJson(const Percentiles &percentiles)
{
    return { { "p50", millis(percentiles.m_p50) },
             { "p95", millis(percentiles.m_p95) },
             { "p99", millis(percentiles.m_p99) },
             { "max", millis(percentiles.m_max) } };
}

Json toJson(const GroupSummary &summary)
{
    Json json;
    json["count"] = summary.m_count;
    for (size_t i = 0; i < LoadOutcomeCount; ++i)
        json[std::string(loadOutcomeName(static_cast<LoadOutcome>(i)))] = summary.m_outcomes[i];
    json["prompt_tokens"] = summary.m_promptTokens;
    json["cached_tokens"] = summary.m_cachedTokens;
    json["output_tokens"] = summary.m_outputTokens;
    json["ttft_ms"] = toJson(summary.m_firstToken);
    json["gap_ms"] = toJson(summary.m_meanGap);
    json["longest_gap_ms"] = toJson(summary.m_longestGap);
    json["total_ms"] = toJson(summary.m_total);
    json["refusal_ms"] = toJson(summary.m_refusal);
    return json;
}

Json classesJson(const LoadRun &run)
{
    Json json = Json::object();
    for (size_t i = 0; i < LoadClassCount; ++i) {
        const auto loadClass = static_cast<LoadClass>(i);
        json[std::string(loadClassName(loadClass))] =
            toJson(summarize(run.m_records, ofClass(loadClass)));
    }
    return json;
}

/// Groups by a member that holds an index below @p count.
template<typename Index>
Json groupsJson(const LoadRun &run, size_t count, Index LoadRecord::*member)
{
    Json json = Json::array();
    for (size_t i = 0; i < count; ++i) {
        const auto in = [&](const LoadRecord &record) { return record.*member == i; };
        json.push_back(toJson(summarize(run.m_records, in)));
    }
    return json;
}

} // namespace

std::string formatTable(const LoadRun &run)
{
    std::string table =
        fmt::format("{:<8} {:>7} {:>8} {:>7} {:>6} {:>9} {:>9} {:>9} {:>8} {:>8} {:>9} {:>9}\n",
                    "class", "count", "complete", "refused", "other", "ttft p50", "p95", "p99",
                    "gap p50", "p95", "total p50", "p95");
    for (size_t i = 0; i < LoadClassCount; ++i) {
        const auto loadClass = static_cast<LoadClass>(i);
        const GroupSummary summary = summarize(run.m_records, ofClass(loadClass));
        if (summary.m_count > 0)
            table += tableRow(loadClassName(loadClass), summary);
    }
    const GroupSummary all = summarize(run.m_records, any);
    table += tableRow("all", all);
    table += "times in ms; gap: time between tokens\n";
    table += outcomeLine(all);
    table += fmt::format("rates: requests_s={:.1f} tokens_s={:.0f}\n", completedPerSecond(run),
                         tokensPerSecond(run));
    for (const std::string &problem : run.m_problems)
        table += "problem: " + problem + "\n";
    return table;
}

std::string formatCsv(const LoadRun &run)
{
    std::string csv = "arrival_us,class,phase,customer,priority,prompt_tokens,cached_tokens,"
                      "output_tokens,outcome,status,ttft_us,gap_us,longest_gap_us,total_us\n";
    for (const LoadRecord &record : run.m_records)
        csv += fmt::format("{},{},{},{},{},{},{},{},{},{},{},{},{},{}\n", record.m_arrival.count(),
                           loadClassName(record.m_class), record.m_phase, record.m_customer,
                           record.m_priority, record.m_promptTokens, record.m_cachedTokens,
                           record.m_outputTokens, loadOutcomeName(record.m_outcome),
                           record.m_status, record.m_firstToken.count(), record.m_meanGap.count(),
                           record.m_longestGap.count(), record.m_total.count());
    return csv;
}

std::string formatJson(const LoadRun &run, const LoadOptions &options, bool flat)
{
    Json json;
    json["seed"] = options.m_seed;
    json["sending_s"] = std::chrono::duration<double>(run.m_sending).count();
    json["elapsed_s"] = std::chrono::duration<double>(run.m_elapsed).count();
    json["requests_s"] = completedPerSecond(run);
    json["tokens_s"] = tokensPerSecond(run);
    json["all"] = toJson(summarize(run.m_records, any));
    json["classes"] = classesJson(run);
    json["customers"] = groupsJson(run, options.m_customers.size(), &LoadRecord::m_customer);
    json["priorities"] = groupsJson(run, options.m_priorityWeights.size(), &LoadRecord::m_priority);
    json["phases"] = groupsJson(run, options.m_phases.size(), &LoadRecord::m_phase);
    json["problems"] = run.m_problems;
    const Json &shown = flat ? json.flatten() : json;
    return shown.dump(1) + "\n";
}

} // namespace stackquay
