/// PEGTL grammar of the operators' language. Internal to the parser.
///
/// Need... is what has to follow, else the whole text is refused: the parser has a message for each
/// Expected... rule, which says what is allowed there.
#pragma once

#include <tao/pegtl.hpp>

namespace stackquay::grammar {

using namespace tao::pegtl;

// Characters and gaps.
struct WordChar : sor<alnum, one<'.', '_', '-', ':'>> { };
struct NameChar : sor<alnum, one<'.', '_', '-'>> { };
struct SegmentChar : sor<alnum, one<'_', '-'>> { };
struct Comment : seq<one<'#'>, until<eolf>> { };
struct Gap : star<sor<space, Comment>> { };

template<char Mark>
struct Symbol : seq<one<Mark>, Gap> { };

template<typename Text>
struct Keyword : seq<Text, not_at<WordChar>, Gap> { };

struct Show : Keyword<TAO_PEGTL_ISTRING("show")> { };
struct Where : Keyword<TAO_PEGTL_ISTRING("where")> { };
struct Order : Keyword<TAO_PEGTL_ISTRING("order")> { };
struct By : Keyword<TAO_PEGTL_ISTRING("by")> { };
struct Asc : Keyword<TAO_PEGTL_ISTRING("asc")> { };
struct Desc : Keyword<TAO_PEGTL_ISTRING("desc")> { };
struct Limit : Keyword<TAO_PEGTL_ISTRING("limit")> { };
struct And : Keyword<TAO_PEGTL_ISTRING("and")> { };
struct Or : Keyword<TAO_PEGTL_ISTRING("or")> { };
struct Not : Keyword<TAO_PEGTL_ISTRING("not")> { };
struct In : Keyword<TAO_PEGTL_ISTRING("in")> { };
struct Why : Keyword<TAO_PEGTL_ISTRING("why")> { };
struct RequestWord : Keyword<TAO_PEGTL_ISTRING("request")> { };
struct EndpointWord : Keyword<TAO_PEGTL_ISTRING("endpoint")> { };
struct ModelWord : Keyword<TAO_PEGTL_ISTRING("model")> { };
struct IntentWord : Keyword<TAO_PEGTL_ISTRING("intent")> { };
struct Set : Keyword<TAO_PEGTL_ISTRING("set")> { };
struct Add : Keyword<TAO_PEGTL_ISTRING("add")> { };
struct Remove : Keyword<TAO_PEGTL_ISTRING("remove")> { };
struct Drain : Keyword<TAO_PEGTL_ISTRING("drain")> { };
struct Undrain : Keyword<TAO_PEGTL_ISTRING("undrain")> { };
struct Promote : Keyword<TAO_PEGTL_ISTRING("promote")> { };
struct VersionWord : Keyword<TAO_PEGTL_ISTRING("version")> { };
struct If : Keyword<TAO_PEGTL_ISTRING("if")> { };
struct Begin : Keyword<TAO_PEGTL_ISTRING("begin")> { };
struct Commit : Keyword<TAO_PEGTL_ISTRING("commit")> { };
struct Check : Keyword<TAO_PEGTL_ISTRING("check")> { };
struct History : Keyword<TAO_PEGTL_ISTRING("history")> { };
struct Undo : Keyword<TAO_PEGTL_ISTRING("undo")> { };
struct True : Keyword<TAO_PEGTL_ISTRING("true")> { };
struct False : Keyword<TAO_PEGTL_ISTRING("false")> { };
struct None : Keyword<TAO_PEGTL_ISTRING("none")> { };

// Values.
struct NumberText : seq<opt<one<'-', '+'>>, plus<digit>, opt<one<'.'>, plus<digit>>,
                        opt<one<'e', 'E'>, opt<one<'-', '+'>>, plus<digit>>> { };
struct Number : seq<NumberText, not_at<WordChar>> { };
struct Word : plus<WordChar> { };
struct DoubleQuoted : seq<one<'"'>, until<one<'"'>, sor<seq<one<'\\'>, any>, not_one<'\n'>>>> { };
struct SingleQuoted : seq<one<'\''>, until<one<'\''>, not_one<'\n'>>> { };
struct Value;
struct ExpectedValue : seq<Value> { };
using NeedValue = must<ExpectedValue>;
struct ExpectedListEnd : Symbol<']'> { };
using NeedListEnd = must<ExpectedListEnd>;
struct List : seq<Symbol<'['>, opt<list<Value, Symbol<','>>>, NeedListEnd> { };
struct Key : plus<NameChar> { };
struct ExpectedColon : seq<Gap, Symbol<':'>> { };
using NeedColon = must<ExpectedColon>;
struct ExpectedObjectEnd : Symbol<'}'> { };
using NeedObjectEnd = must<ExpectedObjectEnd>;
struct Member : seq<Key, NeedColon, NeedValue> { };
struct Object : seq<Symbol<'{'>, opt<list<Member, Symbol<','>>>, NeedObjectEnd> { };
struct Value : sor<True, False, None, seq<Number, Gap>, seq<DoubleQuoted, Gap>,
                   seq<SingleQuoted, Gap>, List, Object, seq<Word, Gap>> { };

// Names, fields and columns.
struct Name : plus<NameChar> { };
struct ExpectedName : seq<Name, Gap> { };
using NeedName = must<ExpectedName>;
struct WholeNumber : plus<digit> { };
struct ExpectedWholeNumber : seq<WholeNumber, not_at<WordChar>, Gap> { };
using NeedWholeNumber = must<ExpectedWholeNumber>;
struct Segment : plus<SegmentChar> { };
struct Field : list<Segment, one<'.'>> { };
struct ExpectedField : seq<Field, Gap> { };
using NeedField = must<ExpectedField>;
struct Reserved : sor<Where, Order, Limit, And, Or, Not, In> { };
struct Column : plus<SegmentChar> { };
struct ExpectedColumn : seq<not_at<Reserved>, Column, Gap> { };
using NeedColumn = must<ExpectedColumn>;

// Conditions and filters.
struct Operator
    : sor<string<'!', '='>, string<'<', '='>, string<'>', '='>, one<'=', '<', '>', '~'>> { };
struct ExpectedOperator : seq<Operator, Gap> { };
using NeedOperator = must<ExpectedOperator>;
struct ExpectedListStart : Symbol<'('> { };
using NeedListStart = must<ExpectedListStart>;
struct ExpectedBracketEnd : Symbol<')'> { };
using NeedBracketEnd = must<ExpectedBracketEnd>;
struct Condition : seq<NeedField, NeedOperator, NeedValue> { };
struct Conditions : seq<If, list<Condition, And>> { };
struct InValues : seq<In, NeedListStart, list<NeedValue, Symbol<','>>, NeedBracketEnd> { };
struct Comparison : seq<NeedColumn, sor<InValues, seq<NeedOperator, NeedValue>>> { };
struct AnyOf;
struct Bracketed : seq<Symbol<'('>, AnyOf, NeedBracketEnd> { };
struct Negation;
struct Term : sor<Negation, Bracketed, Comparison> { };
struct Negation : seq<Not, Term> { };
struct AllOf : list<Term, And> { };
struct AnyOf : list<AllOf, Or> { };

// Queries.
struct Table : plus<SegmentChar> { };
struct ExpectedTable : seq<Table, Gap> { };
using NeedTable = must<ExpectedTable>;
struct Columns : seq<not_at<Reserved>, Column, Gap, star<Symbol<','>, NeedColumn>> { };
struct WhereClause : seq<Where, AnyOf> { };
struct Descending : seq<Desc> { };
struct OrderItem : seq<NeedColumn, opt<sor<Asc, Descending>>> { };
struct ExpectedBy : seq<By> { };
using NeedBy = must<ExpectedBy>;
struct OrderClause : seq<Order, NeedBy, list<OrderItem, Symbol<','>>> { };
struct LimitClause : seq<Limit, NeedWholeNumber> { };
struct ShowStatement
    : seq<Show, NeedTable, opt<Columns>, opt<WhereClause>, opt<OrderClause>, opt<LimitClause>> { };
struct ExpectedIn : seq<In> { };
using NeedIn = must<ExpectedIn>;
struct WhyRequest : seq<RequestWord, NeedName> { };
struct WhyEndpoint : seq<EndpointWord, NeedName> { };
struct WhyModel : seq<ModelWord, NeedName, NeedIn, NeedName> { };
struct ExpectedSubject : sor<WhyRequest, WhyEndpoint, WhyModel> { };
using NeedSubject = must<ExpectedSubject>;
struct WhyStatement : seq<Why, NeedSubject> { };
struct HistoryStatement : seq<History, opt<WholeNumber, Gap>> { };

// Changes.
struct Kind : plus<SegmentChar> { };
struct ExpectedKind : seq<Kind, Gap> { };
using NeedKind = must<ExpectedKind>;
struct WholeIntent : seq<IntentWord> { };
struct Entity : sor<WholeIntent, seq<NeedKind, NeedName>> { };
struct ExpectedEquals : Symbol<'='> { };
using NeedEquals = must<ExpectedEquals>;
struct Assignment : seq<NeedField, NeedEquals, NeedValue> { };
struct Assignments : list<Assignment, Symbol<','>> { };
struct SetChange : seq<Set, Entity, Assignments> { };
struct AddChange : seq<Add, Entity, opt<Symbol<'('>, Assignments, NeedBracketEnd>> { };
struct RemoveChange : seq<Remove, Entity> { };
struct ExpectedEndpointWord : seq<EndpointWord> { };
using NeedEndpointWord = must<ExpectedEndpointWord>;
struct DrainChange : seq<Drain, NeedEndpointWord, NeedName> { };
struct UndrainChange : seq<Undrain, NeedEndpointWord, NeedName> { };
struct ExpectedModelWord : seq<ModelWord> { };
using NeedModelWord = must<ExpectedModelWord>;
struct ExpectedVersionWord : seq<VersionWord> { };
using NeedVersionWord = must<ExpectedVersionWord>;
struct PromoteChange : seq<Promote, NeedModelWord, NeedName, NeedVersionWord, NeedName> { };
struct Change
    : seq<sor<SetChange, AddChange, RemoveChange, DrainChange, UndrainChange, PromoteChange>,
          opt<Conditions>> { };
struct ExpectedChange : seq<Change> { };
using NeedChange = must<ExpectedChange>;
struct ExpectedSemicolon : Symbol<';'> { };
using NeedSemicolon = must<ExpectedSemicolon>;
struct Block : seq<Begin, NeedSemicolon, NeedChange, NeedSemicolon,
                   star<not_at<Commit>, NeedChange, NeedSemicolon>, Commit> { };
struct UndoStatement : seq<Undo, NeedWholeNumber, opt<Conditions>> { };
struct ChangeStatement : sor<Block, Change> { };
struct ExpectedChecked : sor<ChangeStatement, UndoStatement> { };
using NeedChecked = must<ExpectedChecked>;
struct CheckStatement : seq<Check, NeedChecked> { };

struct Statement : sor<ShowStatement, WhyStatement, HistoryStatement, CheckStatement, UndoStatement,
                       ChangeStatement> { };
struct ExpectedStatement : seq<Statement> { };
using NeedStatement = must<ExpectedStatement>;
struct ExpectedEnd : seq<eof> { };
using NeedEnd = must<ExpectedEnd>;
struct Script : seq<Gap, star<Symbol<';'>>,
                    opt<not_at<eof>, NeedStatement,
                        star<plus<Symbol<';'>>, not_at<eof>, NeedStatement>, star<Symbol<';'>>>,
                    NeedEnd> { };

} // namespace stackquay::grammar
