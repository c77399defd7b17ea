#include <gtest/gtest.h>

#include "settings/settings.h"

namespace tanagerseam {
namespace {

// Parses INI text and reads values from its sections.
class IniSettingsTest : public testing::Test
{
protected:
  SectionReader ReaderForFirstSection(const std::string& aText)
  {
    this->file = ParseIni("daemon.ini", aText, this->findings);
    return SectionReader(
      this->file.name, this->file.sections.at(0), this->findings);
  }

  Findings findings;
  IniFile file;
};

TEST_F(IniSettingsTest, ReadsSectionKindNameAndLine)
{
  file = ParseIni("f", "; c\n[key storm alerts]\na = 1\n\n[empty]\n", findings);
  ASSERT_EQ(file.sections.size(), 2u);
  EXPECT_EQ(file.sections[0].kind, "key");
  EXPECT_EQ(file.sections[0].name, "storm alerts");
  EXPECT_EQ(file.sections[0].line, 2);
  EXPECT_EQ(file.sections[0].values.at(0).line, 3);
  EXPECT_EQ(file.sections[1].kind, "empty");
  EXPECT_EQ(findings.Text(), "");
}

TEST_F(IniSettingsTest, ReportsEveryInvalidLineWithItsNumber)
{
  const std::string longLine = "a = " + std::string(200, 'x');
  ParseIni("f",
           "early = 1\n[one]\nnonsense\n" + longLine +
             "\nb = 2\n[open\nmore nonsense",
           findings);
  std::vector<int> lines;
  for (const Finding& finding : findings.Items()) {
    lines.push_back(finding.place.line);
  }
  EXPECT_EQ(lines, (std::vector<int>{ 1, 3, 4, 6, 7 })) << findings.Text();
}

TEST_F(IniSettingsTest, AcceptsLinesUpToTheMaximumLength)
{
  for (size_t length : { 197u, 198u }) {
    SCOPED_TRACE(length);
    const std::string value(length - 4, 'x');
    file = ParseIni("f", "[s]\na = " + value + "\nb = 2\n", findings);
    ASSERT_EQ(file.sections.at(0).values.size(), 2u);
    EXPECT_EQ(file.sections[0].values[0].value, value);
    EXPECT_EQ(file.sections[0].values[1].line, 3);
  }
  EXPECT_TRUE(findings.Empty());
  ParseIni("f", "[s]\na = " + std::string(195, 'x') + "\n", findings);
  EXPECT_EQ(findings.Items().size(), 1u);
}

TEST_F(IniSettingsTest, ReadsIndentedKeysAndLongSectionHeaders)
{
  const std::string name(80, 'n');
  file = ParseIni("f",
                  "\xEF\xBB\xBF[s " + name + "]\r\na = 1\r\n  b = 2 ; why\r\n",
                  findings);
  ASSERT_EQ(file.sections.size(), 1u);
  EXPECT_EQ(file.sections[0].name, name);
  ASSERT_EQ(file.sections[0].values.size(), 2u);
  EXPECT_EQ(file.sections[0].values[1].key, "b");
  EXPECT_EQ(file.sections[0].values[1].value, "2");
  EXPECT_EQ(findings.Text(), "");
}

TEST_F(IniSettingsTest, ReadsTypedValues)
{
  auto reader =
    ReaderForFirstSection("[s]\nport = 80\nshare = 0.5\non = true\n"
                          "list = a, ,b\nat = 127.0.0.1:80\nv6 = [::1]:9\n");
  EXPECT_EQ(reader.Integer("port", 1, 1, 65535), 80);
  EXPECT_EQ(reader.Real("share", 0, 0, 1), 0.5);
  EXPECT_TRUE(reader.Flag("on", false));
  EXPECT_EQ(reader.List("list"), (std::vector<std::string>{ "a", "b" }));
  EXPECT_EQ(reader.Address("at", ""), "127.0.0.1:80");
  EXPECT_EQ(reader.Address("v6", ""), "[::1]:9");
  EXPECT_EQ(reader.Text("absent", "default"), "default");
  reader.RejectUnknown();
  EXPECT_EQ(findings.Text(), "");
}

TEST_F(IniSettingsTest, ReportsInvalidValuesAndReturnsDefaults)
{
  auto reader =
    ReaderForFirstSection("[s]\nport = 0\nshare = nan\non = yes\nat = host:80\n"
                          "empty =\nport = 5\nodd = 1\n");
  EXPECT_EQ(reader.Integer("port", 7, 1, 9), 7);
  EXPECT_EQ(reader.Real("share", 0.25, 0, 1), 0.25);
  EXPECT_FALSE(reader.Flag("on", false));
  EXPECT_EQ(reader.Address("at", "1.1.1.1:1"), "1.1.1.1:1");
  reader.RequiredText("empty");
  reader.RequiredText("missing");
  reader.RejectUnknown();
  EXPECT_EQ(findings.Text(),
            "daemon.ini:7: s.port: duplicate key\n"
            "daemon.ini:2: s.port: must be an integer from 1 to 9\n"
            "daemon.ini:3: s.share: must be a number from 0 to 1\n"
            "daemon.ini:4: s.on: must be one of: true, false\n"
            "daemon.ini:5: s.at: must be IP:port with a numeric IP\n"
            "daemon.ini:6: s.empty: the value is empty\n"
            "daemon.ini:1: s.missing: the key is missing\n"
            "daemon.ini:8: s.odd: unknown key\n");
}

TEST_F(IniSettingsTest, RejectsMalformedAddresses)
{
  for (const char* text : { "1.2.3.4",
                            "1.2.3.4:0",
                            "1.2.3.4:65536",
                            "x:1",
                            ":1",
                            "::1:1",
                            "1:" }) {
    SCOPED_TRACE(text);
    Findings caseFindings;
    IniSection section{ "s", "", 1, { { "at", text, 2 } } };
    SectionReader reader("f", section, caseFindings);
    EXPECT_EQ(reader.Address("at", "d"), "d");
    EXPECT_EQ(caseFindings.Items().size(), 1u);
  }
}

TEST_F(IniSettingsTest, ReportsUnreadableFiles)
{
  LoadIni("/nonexistent/file.ini", findings);
  LoadIni("/", findings);
  EXPECT_EQ(findings.Items().size(), 2u);
}

} // namespace
} // namespace tanagerseam
