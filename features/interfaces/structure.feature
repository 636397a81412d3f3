Feature: the code is where docs/ARCHITECTURE.md says

  Scenario: every name on the page exists
    Then each module and function named in "docs/ARCHITECTURE.md" exists

  Scenario Outline: <folder> imports nothing of <other>
    Then no module of "<folder>" imports from "<other>"

    Examples:
      | folder                | other              |
      | src/ramppin/gateway   | ramppin.router     |
      | src/ramppin/router    | ramppin.gateway    |
      | src/ramppin/gateway   | ramppin_platform   |
      | src/ramppin/router    | ramppin_platform   |
      | src/ramppin/gateway   | standins           |
      | src/ramppin/router    | standins           |
      | platform              | ramppin.router     |
      | platform              | standins           |

  Scenario: the folders are packaged
    Then every package of "src/ramppin" is in pyproject.toml
