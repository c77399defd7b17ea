#include "kernel/findings.h"

namespace tanagerseam {

void
Findings::Add(Place aPlace, std::string aMessage)
{
  this->items.push_back({ std::move(aPlace), std::move(aMessage) });
}

std::string
Findings::Text() const
{
  std::string text;
  for (const Finding& finding : this->items) {
    text += finding.place.file;
    text += ":" + std::to_string(finding.place.line) + ": ";
    text += finding.place.key + ": " + finding.message + "\n";
  }
  return text;
}

} // namespace tanagerseam
