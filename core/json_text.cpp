#include "core/json_text.h"

#include <algorithm>

#include <tao/pegtl.hpp>

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

} // namespace stackquay
