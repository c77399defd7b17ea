// Findings: errors of settings and configuration, each with its place. They
// are collected and reported together, never one at a time.
#ifndef TANAGERSEAM_KERNEL_FINDINGS_H_
#define TANAGERSEAM_KERNEL_FINDINGS_H_

#include <string>
#include <vector>

namespace tanagerseam {

// Where a value stands. Line 0 means "the whole file".
struct Place
{
  std::string file;
  int line = 0;
  // "section.key", or "section" alone.
  std::string key;
};

struct Finding
{
  Place place;
  std::string message;
};

// An ordered collection of findings.
class Findings
{
public:
  void Add(Place aPlace, std::string aMessage);
  bool Empty() const { return this->items.empty(); }
  const std::vector<Finding>& Items() const { return this->items; }
  // One line each: "file:line: key: message".
  std::string Text() const;

private:
  std::vector<Finding> items;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_KERNEL_FINDINGS_H_
