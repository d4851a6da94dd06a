#include "Config/Selector.h"

#include <fmt/format.h>

#include <utility>

#include "Config/ConfigError.h"
#include "Config/LabelSet.h"

namespace fescueline {

namespace {
// Bound the cost of matching one rule against a request.
constexpr size_t kMaxRequirements = 32;
constexpr size_t kMaxValues = 64;

/// Recursive descent parser of the selector syntax.
class SelectorParser {
 public:
  explicit SelectorParser(std::string_view aText) : text(aText) {}

  std::vector<Requirement> Parse() {
    std::vector<Requirement> requirements;
    this->SkipSpaces();
    if (this->AtEnd()) {
      return requirements;
    }
    do {
      requirements.push_back(this->ParseRequirement());
      if (requirements.size() > kMaxRequirements) {
        this->Fail(fmt::format("more than {} requirements", kMaxRequirements));
      }
    } while (this->Accept(","));
    if (!this->AtEnd()) {
      this->Fail("expected ',' or the end of the selector");
    }
    return requirements;
  }

 private:
  Requirement ParseRequirement() {
    Requirement requirement;
    if (this->Accept("!")) {
      requirement.condition = SelectorOperator::Absent;
      requirement.label = this->ParseLabel();
      return requirement;
    }
    requirement.label = this->ParseLabel();
    if (this->Accept("!=")) {
      requirement.condition = SelectorOperator::NotIn;
      requirement.values.push_back(this->ParseValue());
    } else if (this->Accept("==") || this->Accept("=")) {
      requirement.condition = SelectorOperator::In;
      requirement.values.push_back(this->ParseValue());
    } else if (const std::string_view word = this->PeekWord(); !word.empty()) {
      if (word != "in" && word != "notin") {
        this->Fail("expected '=', '==', '!=', 'in', 'notin' or ','");
      }
      requirement.condition =
          word == "in" ? SelectorOperator::In : SelectorOperator::NotIn;
      this->position += word.size();
      requirement.values = this->ParseValues();
    }
    return requirement;
  }

  std::vector<std::string> ParseValues() {
    std::vector<std::string> values;
    if (!this->Accept("(")) {
      this->Fail("expected '('");
    }
    do {
      values.push_back(this->ParseValue());
      if (values.size() > kMaxValues) {
        this->Fail(fmt::format("more than {} values", kMaxValues));
      }
    } while (this->Accept(","));
    if (!this->Accept(")")) {
      this->Fail("expected ',' or ')'");
    }
    return values;
  }

  std::string ParseLabel() {
    const std::string_view word = this->PeekWord();
    if (!IsValidName(word)) {
      this->Fail(fmt::format("a label name {}", kNameRule));
    }
    this->position += word.size();
    return std::string(word);
  }

  std::string ParseValue() {
    const std::string_view word = this->PeekWord();
    if (!IsValidName(word)) {
      this->Fail(fmt::format("a value {}", kNameRule));
    }
    this->position += word.size();
    return std::string(word);
  }

  /// Next run of characters that are not spaces or operators.
  std::string_view PeekWord() {
    this->SkipSpaces();
    const size_t end = this->text.find_first_of(" \t,()=!", this->position);
    return this->text.substr(this->position, end == std::string_view::npos
                                                 ? end
                                                 : end - this->position);
  }

  bool Accept(std::string_view aToken) {
    this->SkipSpaces();
    if (!this->text.substr(this->position).starts_with(aToken)) {
      return false;
    }
    this->position += aToken.size();
    return true;
  }

  void SkipSpaces() {
    while (!this->AtEnd() && (this->text[this->position] == ' ' ||
                              this->text[this->position] == '\t')) {
      ++this->position;
    }
  }

  bool AtEnd() const { return this->position >= this->text.size(); }

  [[noreturn]] void Fail(std::string_view aMessage) {
    this->SkipSpaces();
    throw ConfigError(
        "selector", fmt::format("column {}: {}", this->position + 1, aMessage));
  }

  /// Text being parsed.
  std::string_view text;
  /// Offset of the next character.
  size_t position = 0;
};
}  // namespace

bool Requirement::Accepts(std::optional<std::string_view> aValue) const {
  const auto listed = [&] {
    return std::find(this->values.begin(), this->values.end(), *aValue) !=
           this->values.end();
  };
  switch (this->condition) {
    case SelectorOperator::In:
      return aValue.has_value() && listed();
    case SelectorOperator::NotIn:
      return !aValue.has_value() || !listed();
    case SelectorOperator::Exists:
      return aValue.has_value();
    case SelectorOperator::Absent:
      return !aValue.has_value();
  }
  return false;
}

Selector Selector::Parse(std::string_view aText) {
  Selector selector;
  selector.requirements = SelectorParser(aText).Parse();
  selector.text = aText;
  return selector;
}

std::optional<std::string_view> Selector::RequiredValue(
    std::string_view aLabel) const {
  for (const Requirement& requirement : this->requirements) {
    if (requirement.label == aLabel &&
        requirement.condition == SelectorOperator::In &&
        requirement.values.size() == 1) {
      return requirement.values.front();
    }
  }
  return std::nullopt;
}

}  // namespace fescueline
