// Defines TempFile, a file with a name of its own. CTest runs the cases of one suite in processes
// side by side, so that a fixed name would be shared by several of them.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <string_view>

namespace guavatrail {

class TempFile {
 public:
  explicit TempFile(std::string_view content) {
    int fd = mkstemp(m_path.data());
    EXPECT_GE(fd, 0) << m_path;
    close(fd);
    std::ofstream(m_path, std::ios::binary) << content;
  }
  ~TempFile() { unlink(m_path.c_str()); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;

  const std::string& path() const { return m_path; }

 private:
  std::string m_path = testing::TempDir() + "guavatrail-XXXXXX";
};

}  // namespace guavatrail
