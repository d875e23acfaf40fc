#include "policy/intent_json.h"

#include <algorithm>
#include <limits>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "core/json_fields.h"
#include "policy/intent_fields.h"

namespace stackquay {

namespace {

constexpr size_t MaxValueLength = 60; ///< An invalid value is cut to this in an error message.

template<typename T>
concept Struct = requires(const T &object)
{
    visitFields(object, [](auto &&...) {});
};

/// Converts each type of field to JSON.
struct Writer {
    template<typename Tag>
    static IntentJson write(const Id<Tag> &id)
    {
        return id.str();
    }

    template<typename T>
    requires std::is_arithmetic_v<T>
    static IntentJson write(T value) { return value; }

    static IntentJson write(const std::string &text) { return text; }

    template<typename Rep, typename Period>
    static IntentJson write(std::chrono::duration<Rep, Period> duration)
    {
        return duration.count();
    }

    template<typename Enum>
    requires std::is_enum_v<Enum>
    static IntentJson write(Enum value)
    {
        for (const auto &entry : enumNames(value)) {
            if (entry.m_value == value)
                return std::string(entry.m_name);
        }
        std::abort();
    }

    template<typename T>
    static IntentJson write(const std::optional<T> &value)
    {
        return value ? write(*value) : IntentJson(nullptr);
    }

    template<typename T>
    static IntentJson write(const std::vector<T> &list)
    {
        IntentJson json = IntentJson::array();
        for (const T &item : list)
            json.push_back(write(item));
        return json;
    }

    template<Struct T>
    static IntentJson write(const T &object)
    {
        IntentJson json = IntentJson::object();
        visitFields(object,
                    [&json](const char *name, const auto &value) { json[name] = write(value); });
        return json;
    }
};

std::string shortened(const IntentJson &json)
{
    std::string text = json.dump(-1, ' ', false, IntentJson::error_handler_t::replace);
    if (text.size() > MaxValueLength)
        text = text.substr(0, MaxValueLength) + "...";
    return text;
}

/// Reads each type of field from JSON; stores the first error.
class Reader
{
public:
    explicit Reader(UnknownFields unknown)
        : m_unknown(unknown)
    { }

    const std::optional<std::string> &error() const { return m_error; }

    template<typename Tag>
    void read(const IntentJson &json, const std::string &path, Id<Tag> &id)
    {
        read(json, path, id.m_value);
    }

    void read(const IntentJson &json, const std::string &path, std::string &text)
    {
        if (!json.is_string())
            return fail(path, json, "a string");
        text = json.get<std::string>();
    }

    void read(const IntentJson &json, const std::string &path, bool &value)
    {
        if (!json.is_boolean())
            return fail(path, json, "true or false");
        value = json.get<bool>();
    }

    void read(const IntentJson &json, const std::string &path, double &value)
    {
        if (!json.is_number())
            return fail(path, json, "a number");
        value = json.get<double>();
    }

    template<std::integral T>
    void read(const IntentJson &json, const std::string &path, T &value)
    {
        constexpr T Min = std::numeric_limits<T>::min();
        constexpr T Max = std::numeric_limits<T>::max();
        const bool inRange =
            json.is_number_unsigned()
                ? std::in_range<T>(json.get<uint64_t>())
                : json.is_number_integer() && std::in_range<T>(json.get<int64_t>());
        if (!inRange)
            return fail(path, json, fmt::format("a whole number from {} to {}", Min, Max));
        value = json.get<T>();
    }

    template<typename Rep, typename Period>
    void read(const IntentJson &json, const std::string &path,
              std::chrono::duration<Rep, Period> &duration)
    {
        Rep count = 0;
        read(json, path, count);
        duration = std::chrono::duration<Rep, Period>(count);
    }

    template<typename Enum>
    requires std::is_enum_v<Enum>
    void read(const IntentJson &json, const std::string &path, Enum &value)
    {
        std::vector<std::string_view> allowed;
        for (const auto &entry : enumNames(value)) {
            if (json.is_string() && json.get_ref<const std::string &>() == entry.m_name) {
                value = entry.m_value;
                return;
            }
            allowed.push_back(entry.m_name);
        }
        fail(path, json, fmt::format("{}", fmt::join(allowed, " or ")));
    }

    template<typename T>
    void read(const IntentJson &json, const std::string &path, std::optional<T> &value)
    {
        value.reset();
        if (json.is_null())
            return;
        read(json, path, value.emplace());
    }

    template<typename T>
    void read(const IntentJson &json, const std::string &path, std::vector<T> &list)
    {
        if (!json.is_array())
            return fail(path, json, "a list");
        list.clear();
        for (size_t index = 0; index < json.size(); ++index)
            read(json[index], itemPath(path, json[index], index), list.emplace_back());
    }

    template<Struct T>
    void read(const IntentJson &json, const std::string &path, T &object)
    {
        if (!json.is_object())
            return fail(path, json, "an object");
        std::vector<std::string_view> known;
        const std::string prefix = path.empty() ? "" : path + ".";
        visitFields(object, [&](const char *name, auto &value) {
            known.push_back(name);
            if (const auto found = json.find(name); found != json.end())
                read(*found, prefix + name, value);
        });
        refuseUnknown(json, prefix, known);
    }

private:
    /// Path of a list item: by its name or data centre if it has one, else by index.
    static std::string itemPath(const std::string &path, const IntentJson &item, size_t index)
    {
        for (const char *key : { "name", "data_centre" }) {
            if (item.is_object() && item.contains(key) && item[key].is_string())
                return fmt::format("{}[{}]", path, item[key].get_ref<const std::string &>());
        }
        return fmt::format("{}[{}]", path, index);
    }

    void refuseUnknown(const IntentJson &json, const std::string &prefix,
                       const std::vector<std::string_view> &known)
    {
        if (m_unknown == UnknownFields::Ignore)
            return;
        for (const auto &[name, value] : json.items()) {
            if (std::find(known.begin(), known.end(), name) == known.end()) {
                const std::string allowed = fmt::format("{}", fmt::join(known, ", "));
                return fail(prefix + name, value, "only the fields " + allowed);
            }
        }
    }

    void fail(const std::string &path, const IntentJson &found, std::string_view allowed)
    {
        if (m_error)
            return;
        m_error = fmt::format("{}: found {}, allowed {}", path.empty() ? "intent" : path,
                              shortened(found), allowed);
    }

    UnknownFields m_unknown;
    std::optional<std::string> m_error;
};

/// Line and column, from 1, of the byte at this offset of the text.
std::string position(std::string_view text, size_t byte)
{
    const std::string_view before = text.substr(0, std::min(byte, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const size_t newline = before.rfind('\n');
    const size_t column = newline == before.npos ? before.size() + 1 : before.size() - newline;
    return fmt::format("line {}, column {}", line, column);
}

} // namespace

IntentJson intentToJson(const Intent &intent)
{
    return Writer::write(intent);
}

Result<Intent> intentFromJson(const IntentJson &json, UnknownFields unknown)
{
    Reader reader(unknown);
    Intent intent;
    reader.read(json, "", intent);
    if (reader.error())
        return makeError(ErrorCode::InvalidArgument, *reader.error());
    return intent;
}

std::string encodeIntent(const Intent &intent)
{
    return intentToJson(intent).dump(-1, ' ', false, IntentJson::error_handler_t::replace);
}

Result<Intent> decodeIntent(std::string_view text, UnknownFields unknown)
{
    try {
        bool tooDeep = false;
        const auto json = IntentJson::parse(text, limitDepth<IntentJson>(tooDeep));
        if (tooDeep)
            return makeError(ErrorCode::InvalidArgument, "JSON nested too deeply.");
        return intentFromJson(json, unknown);
    } catch (const IntentJson::parse_error &error) {
        const size_t byte = error.byte > 0 ? error.byte - 1 : 0;
        return makeError(ErrorCode::InvalidArgument,
                         "Invalid JSON at " + position(text, byte) + ".");
    }
}

} // namespace stackquay
