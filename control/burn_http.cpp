#include "control/burn_http.h"

#include <openssl/evp.h>

#include "control/command_http.h"
#include "net/net.h"

namespace stackquay {

namespace {

constexpr std::string_view BasicScheme = "Basic ";
constexpr unsigned Unauthorized = 401;
constexpr unsigned Unavailable = 503;

std::string decodeBase64(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0)
        return "";
    std::string bytes(text.size() / 4 * 3, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                        reinterpret_cast<const unsigned char *>(text.data()), text.size());
    if (size < 0)
        return "";
    const size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(size - padding);
    return bytes;
}

/// The bearer key, or the password of basic authentication.
std::string operatorKey(const HttpRequest &request)
{
    if (const std::string_view key = bearerKey(request); !key.empty())
        return std::string(key);
    const std::string_view value = findHeader(request.m_headers, "Authorization");
    if (!value.starts_with(BasicScheme))
        return "";
    const std::string pair = decodeBase64(value.substr(BasicScheme.size()));
    const size_t colon = pair.find(':');
    return colon == std::string::npos ? "" : pair.substr(colon + 1);
}

HttpResponse plain(unsigned status, std::string text)
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(text) };
}

HttpResponse render(const BurnReport &report, std::string_view format)
{
    if (format == "text")
        return plain(200, renderText(report));
    if (format == "json")
        return { 200, { { "Content-Type", "application/json" } }, renderJson(report).dump() };
    return { 200, { { "Content-Type", "text/html; charset=utf-8" } }, renderHtml(report) };
}

HttpResponse answer(const ReportEnvironment &environment, const std::string &key,
                    const std::string &format)
{
    const std::shared_ptr<const Intent> intent = environment.m_intent();
    const Result<Operator> person = findOperator(intent.get(), key);
    if (!person) {
        HttpResponse response = plain(Unauthorized, person.error().m_message + "\n");
        response.m_headers.push_back({ "WWW-Authenticate", "Basic realm=\"stackquay\"" });
        return response;
    }
    return render(makeBurnReport(*intent, environment.m_gather()), format);
}

} // namespace

HttpHandler makeReportHandler(FiberThread &control, const ReportEnvironment &environment)
{
    return [&control, &environment](HttpExchange &exchange) {
        const std::string key = operatorKey(exchange.request());
        const std::string format = exchange.request().query("format");
        const Result<HttpResponse> response = runOn<HttpResponse>(
            control, [&environment, key, format] { return answer(environment, key, format); });
        const Status sent = exchange.respond(
            response ? *response : plain(Unavailable, response.error().m_message + "\n"));
        if (!sent)
            log(LogPart::Control).info("Reader hung up. error={}", toString(sent.error()));
    };
}

} // namespace stackquay
