Feature: callers of VMs that start while the log is away

  Scenario Outline: the log is away for <away> s after the start, the deadline is <deadline> s
    When callers with <deadline> s and one retry come while the log is away for <away> s
    Then at least <served> of them reach a VM that knows its settings
    And with a pause of 0.5 s at most <before> of them would

    Examples: a VM knows its settings 0.1 s after the log is back
      | away | deadline | served | before |
      | 0.5  | 8.3      | 1.0    | 1.0    |
      | 2.5  | 8.3      | 1.0    | 0.97   |
      | 4.0  | 8.3      | 1.0    | 0.62   |
      | 8.0  | 8.3      | 0.53   | 0.32   |
      | 2.0  | 2.57     | 0.96   | 0.97   |
      | 3.0  | 1.57     | 0.39   | 0.48   |

  Scenario Outline: the pause at a VM without settings, <left> s left
    Then at a VM without settings a caller with <left> s left pauses <pause> s

    Examples:
      | left | pause |
      | none | 0.5   |
      | 6.0  | 2.0   |
      | 0.3  | 0.1   |
      | -1.0 | 0.0   |
