/*
 * The only C++ of the program: wraps toml++ behind toml.h.
 *
 * The library builds and frees nested tables recursively. It bounds nested
 * values itself (TOML_MAX_NESTED_VALUES), but a dotted key makes one table per
 * dot without any bound, so a line of 500,000 dots would overflow the stack
 * when the tables are freed. Keys cannot span lines; a bound on the dots of a
 * line therefore bounds the depth.
 *
 * The library states by assertions what it takes for granted about the text,
 * and some malformed texts break them. An assertion would end the process, so
 * here it throws, and the text is refused like any other.
 */

#undef NDEBUG

#include <stdexcept>

[[noreturn]] static void assertion_failed()
{
	throw std::logic_error("malformed text");
}

#define TOML_ASSERT(condition)                                                 \
	do {                                                                   \
		if (!(condition))                                              \
			assertion_failed();                                    \
	} while (0)
#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#define TOML_MAX_NESTED_VALUES 16

#include <toml++/toml.h>

#include "toml.h"
#include "../pimentoshelf.h"

#include <cstdio>
#include <new>
#include <string_view>

static const int dots_max = 128;

static const toml::node *node_of(const toml_node_t *node)
{
	return reinterpret_cast<const toml::node *>(node);
}

static const toml_node_t *handle_of(const toml::node *node)
{
	return reinterpret_cast<const toml_node_t *>(node);
}

static void set_error(toml_document_t *document, int line,
		      std::string_view reason)
{
	document->error_line = line;
	snprintf(document->error, sizeof(document->error), "%.*s",
		 static_cast<int>(reason.size()), reason.data());
}

static bool dots_bounded(toml_document_t *document, std::string_view text)
{
	int line = 1;
	int dots = 0;

	for (char c : text) {
		if (c == '\n') {
			line++;
			dots = 0;
		} else if (c == '.' && ++dots > dots_max) {
			set_error(document, line, "more than 128 dots in line");
			return false;
		}
	}
	return true;
}

static int parse(toml_document_t *document, std::string_view text)
{
	try {
		toml::table table = toml::parse(text);

		document->root = reinterpret_cast<toml_node_t *>(
			static_cast<toml::node *>(
				new toml::table(std::move(table))));
		return PIMENTO_OK;
	} catch (const toml::parse_error &error) {
		set_error(document, static_cast<int>(error.source().begin.line),
			  error.description());
		return PIMENTO_EPARSE;
	} catch (const std::bad_alloc &) {
		return PIMENTO_ENOMEM;
	} catch (...) {
		set_error(document, 0, "cannot be parsed");
		return PIMENTO_EPARSE;
	}
}

extern "C" int toml_init(toml_document_t *document, const char *text,
			 size_t length)
{
	*document = toml_document_t{};
	if (!dots_bounded(document, std::string_view(text, length)))
		return PIMENTO_EPARSE;
	return parse(document, std::string_view(text, length));
}

extern "C" void toml_finish(toml_document_t *document)
{
	delete reinterpret_cast<toml::node *>(document->root);
	document->root = nullptr;
}

extern "C" toml_type_t toml_type(const toml_node_t *node)
{
	if (!node)
		return TOML_TYPE_NONE;
	switch (node_of(node)->type()) {
	case toml::node_type::string:
		return TOML_TYPE_STRING;
	case toml::node_type::integer:
		return TOML_TYPE_INTEGER;
	case toml::node_type::floating_point:
		return TOML_TYPE_FLOAT;
	case toml::node_type::boolean:
		return TOML_TYPE_BOOLEAN;
	case toml::node_type::array:
		return TOML_TYPE_ARRAY;
	case toml::node_type::table:
		return TOML_TYPE_TABLE;
	case toml::node_type::none:
		return TOML_TYPE_NONE;
	default:
		return TOML_TYPE_TIME;
	}
}

extern "C" int toml_line(const toml_node_t *node)
{
	return node ? static_cast<int>(node_of(node)->source().begin.line) : 0;
}

extern "C" bool toml_string(const toml_node_t *node, const char **text,
			    size_t *length)
{
	const auto *value = node ? node_of(node)->as_string() : nullptr;

	if (!value)
		return false;
	*text = value->get().c_str();
	*length = value->get().size();
	return true;
}

extern "C" bool toml_integer(const toml_node_t *node, int64_t *number)
{
	const auto *value = node ? node_of(node)->as_integer() : nullptr;

	if (!value)
		return false;
	*number = value->get();
	return true;
}

extern "C" bool toml_boolean(const toml_node_t *node, bool *truth)
{
	const auto *value = node ? node_of(node)->as_boolean() : nullptr;

	if (!value)
		return false;
	*truth = value->get();
	return true;
}

extern "C" size_t toml_count(const toml_node_t *array)
{
	const auto *value = array ? node_of(array)->as_array() : nullptr;

	return value ? value->size() : 0;
}

extern "C" const toml_node_t *toml_at(const toml_node_t *array, size_t index)
{
	const auto *value = array ? node_of(array)->as_array() : nullptr;

	return value ? handle_of(value->get(index)) : nullptr;
}

extern "C" const toml_node_t *toml_get(const toml_node_t *table,
				       const char *key)
{
	const auto *value = table ? node_of(table)->as_table() : nullptr;

	return value ? handle_of(value->get(key)) : nullptr;
}

extern "C" void toml_each(const toml_node_t *table, toml_visit_t *visit,
			  void *context)
{
	const auto *value = table ? node_of(table)->as_table() : nullptr;

	if (!value)
		return;
	for (const auto &entry : *value)
		visit(context, entry.first.str().data(),
		      handle_of(&entry.second));
}
