// reference-answer: prints the expected answer of the stand-in model, to check
// answers by hand.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "chervilpass/core/hash.h"
#include "chervilpass/pipeline/tokenizer.h"
#include "stand_ins/model/reference_model.h"

int main(int argc, char** argv) {
  using namespace chervilpass;
  TCLAP::CmdLine command("Prints the correct answer of the stand-in model", ' ',
                         CHERVILPASS_VERSION);
  TCLAP::ValueArg<std::uint32_t> layers("", "layers", "layers of the model",
                                        true, 0, "N", command);
  TCLAP::ValueArg<std::string> prompt("", "prompt", "the prompt", true, "",
                                      "TEXT", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "the request's seed", true, 0,
                                      "N", command);
  TCLAP::ValueArg<std::uint32_t> tokens("", "tokens", "tokens of the answer",
                                        true, 0, "N", command);
  command.parse(argc, argv);
  const auto answer = stand_ins::ReferenceAnswer(
      layers.getValue(), pipeline::Tokenize(prompt.getValue()), seed.getValue(),
      tokens.getValue());
  std::string text;
  for (const std::uint32_t token : answer) {
    text += pipeline::TokenText(token);
  }
  fmt::print("{}\n", text);
  return 0;
}
