/// Prints a run: a table for people, CSV and JSON for scripts.
#pragma once

#include "load/summary.h"

namespace stackquay {

/// Rows by class with outcomes and percentiles in milliseconds.
std::string formatTable(const LoadRun &run);
/// One line a request, with a header line.
std::string formatCsv(const LoadRun &run);
/// Groups all, classes, customers, priorities and phases. @p flat: one level, a value a line, with
/// names such as "/classes/<=4k/ttft_ms/p95", which shell scripts can pick out.
std::string formatJson(const LoadRun &run, const LoadOptions &options, bool flat);

} // namespace stackquay
