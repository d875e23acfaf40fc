#include "core/json_text.h"

#include <algorithm>
#include <charconv>

#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/unescape.hpp>

namespace stackquay {

namespace {

namespace pegtl = tao::pegtl;

using Input = pegtl::memory_input<pegtl::tracking_mode::lazy>;

struct Space : pegtl::one<' ', '\t', '\n', '\r'> { };

struct String
    : pegtl::seq<pegtl::one<'"'>,
                 pegtl::until<pegtl::one<'"'>, pegtl::sor<pegtl::seq<pegtl::one<'\\'>, pegtl::any>,
                                                          pegtl::not_one<'\\'>>>> { };

struct Scalar
    : pegtl::plus<pegtl::not_one<'"', ',', ':', '[', ']', '{', '}', ' ', '\t', '\n', '\r'>> { };

/// From an opening bracket to the one that closes it.
struct Nested {
    using rule_t = Nested;
    using subs_t = pegtl::empty_list;

    template<pegtl::apply_mode, pegtl::rewind_mode, template<typename...> class,
             template<typename...> class, typename ParseInput, typename... States>
    static bool match(ParseInput &in, States &&...)
    {
        size_t depth = 0;
        do {
            if (in.empty())
                return false;
            switch (in.peek_char()) {
            case '[':
            case '{':
                ++depth;
                break;
            case ']':
            case '}':
                --depth;
                break;
            case '"':
                if (!pegtl::parse<String>(in))
                    return false;
                continue;
            default:
                break;
            }
            in.bump();
        } while (depth > 0);
        return true;
    }
};

struct Container : pegtl::seq<pegtl::at<pegtl::one<'[', '{'>>, Nested> { };
struct Value : pegtl::sor<String, Container, Scalar> { };
struct Name : String { };
struct Member : pegtl::seq<Name, pegtl::star<Space>, pegtl::one<':'>, pegtl::star<Space>, Value> {
};

template<char Open, typename Element, char Close>
struct Bracketed
    : pegtl::seq<pegtl::star<Space>, pegtl::one<Open>, pegtl::star<Space>,
                 pegtl::opt<pegtl::list<Element, pegtl::one<','>, Space>>, pegtl::star<Space>,
                 pegtl::one<Close>, pegtl::star<Space>, pegtl::eof> { };

using Object = Bracketed<'{', Member, '}'>;
using Array = Bracketed<'[', Value, ']'>;

template<typename Rule>
struct CollectMember : pegtl::nothing<Rule> { };

template<>
struct CollectMember<Name> {
    template<typename ActionInput>
    static void apply(const ActionInput &in, std::vector<JsonMember> &members)
    {
        const std::string_view quoted = in.string_view();
        members.push_back({ quoted.substr(1, quoted.size() - 2), {} });
    }
};

template<>
struct CollectMember<Value> {
    template<typename ActionInput>
    static void apply(const ActionInput &in, std::vector<JsonMember> &members)
    {
        members.back().m_value = in.string_view();
    }
};

template<typename Rule>
struct CollectItem : pegtl::nothing<Rule> { };

template<>
struct CollectItem<Value> {
    template<typename ActionInput>
    static void apply(const ActionInput &in, std::vector<std::string_view> &items)
    {
        items.push_back(in.string_view());
    }
};

constexpr size_t UnitDigits = 4;
constexpr size_t UnitEscapeLength = 2 + UnitDigits;
constexpr unsigned FirstHighSurrogate = 0xd800;
constexpr unsigned FirstLowSurrogate = 0xdc00;
constexpr unsigned LastLowSurrogate = 0xdfff;

/// The UTF-16 code unit of the escape "\uXXXX" at the start of @p text.
std::optional<unsigned> parseUnit(std::string_view text)
{
    constexpr int Hexadecimal = 16;
    if (!text.starts_with("\\u"))
        return std::nullopt;
    const std::string_view digits = text.substr(2, UnitDigits);
    unsigned unit = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), unit, Hexadecimal);
    if (digits.size() < UnitDigits || error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return unit;
}

void appendCodePoint(std::string &bytes, unsigned codePoint)
{
    if (pegtl::unescape::utf8_append_utf32(bytes, codePoint))
        return;
    // UTF-8 has no form for half of a surrogate pair.
    constexpr unsigned ThreeBytes = 0xe0;
    constexpr unsigned Continuation = 0x80;
    constexpr unsigned BitsEach = 6;
    constexpr unsigned Mask = 0x3f;
    bytes += static_cast<char>(ThreeBytes | codePoint >> 2 * BitsEach);
    bytes += static_cast<char>(Continuation | (codePoint >> BitsEach & Mask));
    bytes += static_cast<char>(Continuation | (codePoint & Mask));
}

/// Removes the escape "\uXXXX", or both of a surrogate pair, from the start of @p text.
bool decodeUnits(std::string_view &text, std::string &bytes)
{
    constexpr unsigned SurrogateBits = 10;
    constexpr unsigned FirstSupplementary = 0x10000;
    const auto unit = parseUnit(text);
    if (!unit)
        return false;
    text.remove_prefix(UnitEscapeLength);
    const bool high = *unit >= FirstHighSurrogate && *unit < FirstLowSurrogate;
    const auto low = high ? parseUnit(text) : std::nullopt;
    if (!low || *low < FirstLowSurrogate || *low > LastLowSurrogate) {
        appendCodePoint(bytes, *unit);
        return true;
    }
    text.remove_prefix(UnitEscapeLength);
    appendCodePoint(bytes, FirstSupplementary + ((*unit - FirstHighSurrogate) << SurrogateBits)
                               + (*low - FirstLowSurrogate));
    return true;
}

/// Removes the escape of one letter from the start of @p text.
bool decodeLetter(std::string_view &text, std::string &bytes)
{
    constexpr std::string_view Letters = R"("\/bfnrt)";
    constexpr std::string_view Meanings = "\"\\/\b\f\n\r\t";
    const size_t index = text.size() < 2 ? std::string::npos : Letters.find(text[1]);
    if (index == std::string::npos)
        return false;
    bytes += Meanings[index];
    text.remove_prefix(2);
    return true;
}

} // namespace

Result<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    std::vector<JsonMember> members;
    Input in(text.data(), text.data() + text.size(), "");
    if (!pegtl::parse<Object, CollectMember>(in, members))
        return makeError(ErrorCode::ProtocolError, "not a JSON object");
    return members;
}

Result<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> items;
    Input in(text.data(), text.data() + text.size(), "");
    if (!pegtl::parse<Array, CollectItem>(in, items))
        return makeError(ErrorCode::ProtocolError, "not a JSON array");
    return items;
}

std::string_view findJsonMember(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto found = std::find_if(members.rbegin(), members.rend(),
                                    [name](const JsonMember &one) { return one.m_name == name; });
    return found == members.rend() ? std::string_view{} : found->m_value;
}

std::optional<std::string> decodeJsonBytes(std::string_view text)
{
    if (text.size() < 2 || text.front() != '"' || text.back() != '"')
        return std::nullopt;
    text = text.substr(1, text.size() - 2);
    std::string bytes;
    while (!text.empty()) {
        const size_t plain = std::min(text.find('\\'), text.size());
        bytes += text.substr(0, plain);
        text.remove_prefix(plain);
        if (!text.empty() && !decodeLetter(text, bytes) && !decodeUnits(text, bytes))
            return std::nullopt;
    }
    return bytes;
}

} // namespace stackquay
