#include "control/command_http.h"

#include "control/command_json.h"
#include "net/net.h"

namespace stackquay {

namespace {

constexpr std::string_view BearerScheme = "Bearer ";
constexpr unsigned Unauthorized = 401;
constexpr unsigned MethodNotAllowed = 405;

HttpResponse toResponse(const CommandAnswer &answer)
{
    return { outcomeCodes(answer.m_outcome).m_httpStatus,
             { { "Content-Type", "application/json" } },
             encodeCommandAnswer(answer) };
}

CommandAnswer failure(CommandOutcome outcome, std::string text)
{
    CommandAnswer answer;
    answer.m_outcome = outcome;
    answer.m_text = std::move(text) + "\n";
    return answer;
}

HttpResponse execute(const CommandEnvironment &environment, const std::string &key,
                     const CommandRequest &request)
{
    const std::shared_ptr<const Intent> intent = environment.m_intent();
    const Result<Operator> person = findOperator(intent.get(), key);
    if (person)
        return toResponse(runCommand(environment, request, *person));
    HttpResponse response =
        toResponse(failure(CommandOutcome::NotPermitted, person.error().m_message));
    response.m_status = Unauthorized;
    return response;
}

HttpResponse handle(FiberThread &control, const CommandEnvironment &environment,
                    const HttpRequest &http)
{
    if (http.m_method != "POST")
        return { MethodNotAllowed, { { "Allow", "POST" } }, "" };
    const Result<CommandRequest> request = decodeCommandRequest(http.m_body);
    if (!request)
        return toResponse(failure(CommandOutcome::Refused, request.error().m_message));
    const std::string key(bearerKey(http));
    const Result<HttpResponse> response =
        runOn<HttpResponse>(control, [&, key] { return execute(environment, key, *request); });
    if (!response)
        return toResponse(failure(CommandOutcome::Unknown, response.error().m_message));
    return *response;
}

} // namespace

std::string_view bearerKey(const HttpRequest &request)
{
    const std::string_view value = findHeader(request.m_headers, "Authorization");
    return value.starts_with(BearerScheme) ? value.substr(BearerScheme.size()) : std::string_view();
}

HttpHandler makeCommandHandler(FiberThread &control, const CommandEnvironment &environment)
{
    return [&control, &environment](HttpExchange &exchange) {
        const Status sent = exchange.respond(handle(control, environment, exchange.request()));
        if (!sent)
            log(LogPart::Control).info("Operator hung up. error={}", toString(sent.error()));
    };
}

} // namespace stackquay
